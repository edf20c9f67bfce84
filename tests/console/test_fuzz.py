import contextlib
import io
import json
import pathlib
import urllib.parse

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.conf.test_document import PATHS, VALUES, set_value
from trefoilhinge.client.status_client import StatusSource
from trefoilhinge.console.application import ConsoleApplication
from trefoilhinge.console.csrf import FormTokenSigner

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
TEXT = (EXAMPLES / 'kandy.json').read_text()
POINTERS = [
    '/'.join(str(segment) for segment in path)
    for path in PATHS
    if len(path) < 5
] + ['review', '', 'x']
ACTION_NAMES = ['show', 'add', 'remove', 'key', 'download']


def post(values):
    body = urllib.parse.urlencode(values, errors='surrogatepass').encode()
    statuses = []
    environ = {
        'REQUEST_METHOD': 'POST',
        'PATH_INFO': '/',
        'HTTP_HOST': '127.0.0.1:1',
        'CONTENT_LENGTH': str(len(body)),
        'wsgi.input': io.BytesIO(body),
    }
    application = ConsoleApplication(TOKEN_SIGNER, '', StatusSource())
    list(application(environ, lambda status, headers: statuses.append(status)))
    return statuses[0]


class PermissiveTokenSigner(FormTokenSigner):
    def check_token(self, token, now_s):
        """Accept any token; the fuzzed code runs after this check."""


TOKEN_SIGNER = PermissiveTokenSigner(b'secret')


class TestConsoleFuzzing:
    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(
        st.lists(st.tuples(st.sampled_from(PATHS), VALUES), max_size=2),
        st.sampled_from(ACTION_NAMES),
        st.sampled_from(POINTERS),
        st.sampled_from(POINTERS),
        st.dictionaries(
            st.sampled_from(POINTERS), st.text(max_size=9), max_size=3
        ),
    )
    def test_any_form_gets_a_response(
        self, changes, action_name, pointer, section, texts
    ):
        fields = json.loads(TEXT)
        for path, value in changes:
            with contextlib.suppress(LookupError, TypeError):
                set_value(fields, path, value)
        values = {
            **texts,
            'draft': json.dumps(fields),
            'loaded': TEXT,
            'section': section,
            'action': f'{action_name}:{pointer}',
        }
        assert post(values)[:3] in {'200', '400', '422'}
