import json
import pathlib
import threading

import pytest

from tests.console.browser import Browser
from trefoilhinge.client.status_client import InstanceReport, StatusSource
from trefoilhinge.conf.document import parse_document
from trefoilhinge.console.commands import make_server, run_console
from trefoilhinge.console.pages import Frame, render_status
from trefoilhinge.core.api_keys import parse_api_key, verify_secret
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.events import DocumentRead, LoadRead
from trefoilhinge.core.identifiers import InstanceIdentity
from trefoilhinge.core.reports import LoadReport
from trefoilhinge.demo.deployment import find_free_port
from trefoilhinge.exceptions import ImproperlyConfigured
from trefoilhinge.node.composition import make_node, make_parts
from trefoilhinge.node.status import describe_node

IDENTITY = InstanceIdentity('entry-1', 1)
START = Instant(100.0, 1000.0)
EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
TEXT = (EXAMPLES / 'kandy.json').read_text()


@pytest.fixture(scope='module')
def address():
    listen = f'127.0.0.1:{find_free_port()}'
    server = make_server(listen, TEXT, StatusSource('127.0.0.1:1'))
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    yield listen
    server.stop()
    thread.join(10)


@pytest.fixture
def browser(address):
    return Browser(address).open()


@pytest.fixture
def editor(browser):
    return browser.press('begin', 'given')


def show_section(editor, section, **changes):
    return editor.press('action', f'show:{section}', **changes)


class TestOpening:
    def test_given_document_is_opened(self, editor):
        assert editor.status == 200
        assert editor.page.values['deployment'] == 'kandy'
        assert editor.page.values['balance/long_weight'] == '0.2'

    def test_pasted_document_is_opened(self, browser):
        text = (EXAMPLES / 'caroni.json').read_text()
        browser.press('begin', 'text', text=text)
        assert browser.page.values['deployment'] == 'caroni'

    def test_uploaded_file_is_opened(self, browser):
        token = browser.page.values['token']
        parts = {'token': token, 'begin': 'text', 'text': '', 'file': TEXT}
        body = ''.join(
            f'--b\r\nContent-Disposition: form-data; name="{name}"'
            f'{"; filename=a.json" if name == "file" else ""}\r\n\r\n{value}\r\n'
            for name, value in parts.items()
        )
        browser._send(
            'POST',
            '/load',
            f'{body}--b--\r\n'.encode(),
            {'Content-Type': 'multipart/form-data; boundary=b'},
        )
        assert browser.page.values['deployment'] == 'kandy'

    @pytest.mark.parametrize(
        'text', ['', '{', '[]', '{"services": 7}', '{"colour": 1}', '\ufeff{}']
    )
    def test_text_with_invalid_structure_is_refused_and_kept(
        self, browser, text
    ):
        browser.press('begin', 'text', text=text)
        assert browser.status == 422
        assert browser.page.values['text'] == text
        assert 'could not be opened' in browser.visible_text

    def test_invalid_document_with_valid_structure_is_opened(self, browser):
        fields = json.loads(TEXT)
        del fields['balance'], fields['time_limits']
        fields['services'][0]['kind'] = 'modle'
        browser.press('begin', 'text', text=json.dumps(fields))
        assert browser.status == 200
        assert 'balance/long_weight' in browser.page.invalid

    def test_new_document_is_created(self, browser):
        browser.press('begin', 'new')
        show_section(
            browser,
            'failure_domains',
            **{
                'deployment': 'first',
                'time_limits/default_s': '30',
                'time_limits/maximum_s': '60',
            },
        )
        browser.press('action', 'add:failure_domains')
        domain = 'failure_domains/0'
        show_section(
            browser,
            'services',
            **{f'{domain}/name': 'here', f'{domain}/region': 'home'},
        )
        browser.press('action', 'add:services')
        show_section(browser, 'organisations', **{'services/0/name': 'writer'})
        browser.press('action', 'add:organisations')
        browser.press(
            'action',
            'key:organisations/0',
            **{
                'organisations/0/name': 'hall',
                'organisations/0/requests_per_s': '5',
                'organisations/0/tokens_per_s': '5000',
                'organisations/0/services': 'writer',
            },
        )
        show_section(browser, 'review')
        browser.press('action', 'download:')
        document = parse_document(browser.body.decode()).ok
        assert document.revision == 1
        assert document.organisations[0].name == 'hall'
        assert len(document.organisations[0].keys) == 1


class TestEditing:
    def test_unchanged_document_gets_the_next_revision(self, editor):
        show_section(editor, 'review')
        assert 'Nothing but the revision' in editor.visible_text
        editor.press('action', 'download:')
        assert editor.headers['Content-Disposition'] == (
            'attachment; filename="kandy-2.json"'
        )
        assert json.loads(editor.body) == {**json.loads(TEXT), 'revision': 2}

    @pytest.mark.parametrize('section', ['', 'failure_domains', 'models'])
    def test_showing_a_section_changes_nothing(self, editor, section):
        show_section(editor, section)
        show_section(editor, section)
        assert json.loads(editor.page.values['draft']) == json.loads(TEXT)

    @pytest.mark.parametrize('kind', ['organisations', 'services'])
    def test_showing_each_item_changes_nothing(self, editor, kind):
        for number in range(len(json.loads(TEXT)[kind])):
            show_section(editor, kind)
            show_section(editor, f'{kind}/{number}')
            show_section(editor, f'{kind}/{number}')
        assert json.loads(editor.page.values['draft']) == json.loads(TEXT)

    def test_change_is_described(self, editor):
        show_section(editor, 'organisations')
        show_section(editor, 'organisations/0')
        show_section(
            editor, 'review', **{'organisations/0/tokens_per_s': '200000'}
        )
        assert (
            'hotel-desk may now use 200,000 tokens per second, was 400,000'
            in editor.visible_text
        )

    @pytest.mark.parametrize(
        ('name', 'value', 'message'),
        [
            ('organisations/0/tokens_per_s', 'many', 'write a number'),
            ('organisations/0/tokens_per_s', '1e99', 'at most 1000000000'),
            ('organisations/0/tokens_per_s', 'NaN', 'write a number'),
            ('organisations/0/priorities', '5\nx', 'whole number'),
            ('organisations/0/services', 'writr', 'write "writer"'),
            ('organisations/0/name', 'Hotel Desk', 'lower-case'),
            ('organisations/0/name', 'hostesses', 'already'),
            ('organisations/0/name', '<script>', 'lower-case'),
        ],
    )
    def test_problem_is_shown_at_its_field(self, editor, name, value, message):
        show_section(editor, 'organisations')
        show_section(editor, 'organisations/0')
        show_section(editor, 'organisations/0', **{name: value})
        invalid_name = 'organisations/1/name' if value == 'hostesses' else name
        if invalid_name != name:
            show_section(editor, 'organisations')
            show_section(editor, 'organisations/1')
        assert invalid_name in editor.page.invalid
        assert message in editor.visible_text
        assert b'<script>' not in editor.body
        show_section(editor, 'review')
        assert 'to correct before' in editor.visible_text
        assert ('action', 'download:') not in editor.page.buttons

    def test_cleared_field_gets_its_default(self, editor):
        show_section(editor, 'organisations')
        show_section(editor, 'organisations/0')
        show_section(editor, 'review', **{'organisations/0/weight': ''})
        assert 'now has the weight 1, was 3' in editor.visible_text

    def test_items_are_added_and_removed(self, editor):
        show_section(editor, 'services')
        show_section(editor, 'services/1')
        editor.press('action', 'add:services/1/paths')
        show_section(
            editor,
            'services/1',
            **{
                'services/1/paths/2/path': '/menu',
                'services/1/paths/2/idempotent': 'true',
            },
        )
        editor.press('action', 'remove:services/1/paths/0')
        draft = json.loads(editor.page.values['draft'])
        assert [one['path'] for one in draft['services'][1]['paths']] == [
            '/bookings',
            '/menu',
        ]
        assert draft['services'][1]['paths'][1]['idempotent'] is True

    def test_known_names_are_suggested(self, editor):
        show_section(editor, 'services')
        show_section(editor, 'services/1')
        assert b'<option value="nuwara">' in editor.body
        show_section(editor, 'organisations')
        show_section(editor, 'organisations/0')
        assert 'Known: writer, desk.' in editor.visible_text

    def test_problem_summary_links_to_each_field(self, editor):
        show_section(editor, 'organisations')
        show_section(editor, 'organisations/0')
        changes = {
            'organisations/0/services': 'writer\nnone',
            'organisations/0/name': 'hostesses',
        }
        show_section(editor, 'organisations/0', **changes)
        links = editor.page.links
        assert 'f-organisations-0-services' in links
        assert links <= set(editor.page.identifiers)

    def test_optional_group_is_removed_and_added(self, editor):
        show_section(editor, 'services')
        show_section(editor, 'services/0')
        editor.press('action', 'remove:services/0/desired')
        assert 'services/0/desired/model' not in editor.page.values
        editor.press('action', 'add:services/0/desired')
        assert 'services/0/desired/model' in editor.page.values

    def test_organisation_is_removed(self, editor):
        show_section(editor, 'organisations')
        editor.press('action', 'remove:organisations/0')
        show_section(editor, 'review')
        assert 'organisation hotel-desk is removed' in editor.visible_text

    def test_new_key_is_shown_once_and_only_its_hash_kept(self, editor):
        show_section(editor, 'organisations')
        show_section(editor, 'organisations/0')
        editor.press('action', 'key:organisations/0')
        words = editor.visible_text.split()
        key = next(parsed for one in words if (parsed := parse_api_key(one)))
        assert editor.headers['Cache-Control'] == 'no-store'
        show_section(editor, 'organisations/0')
        assert key.secret not in editor.body.decode()
        show_section(editor, 'review')
        editor.press('action', 'download:')
        entry = json.loads(editor.body)['organisations'][0]['keys'][0]
        assert verify_secret(key.secret, entry['salt'], entry['digest'])
        assert key.secret not in editor.body.decode()

    def test_service_shows_example_requests(self, editor):
        show_section(editor, 'services')
        show_section(editor, 'services/1')
        visible_text = editor.visible_text
        assert '/services/desk/lookup' in visible_text
        booking = visible_text.partition('/bookings: must run at most once')[2]
        assert '/v1/idempotency-keys' in booking
        assert 'Idempotency-Key: $KEY' in booking
        assert 'X-Repeatable: no' in booking
        assert 'X-Time-Limit-S: 120' in visible_text
        show_section(editor, 'services')
        show_section(editor, 'services/0')
        assert '"model": "writer"' in editor.visible_text


class TestPages:
    @pytest.mark.parametrize(
        'section',
        ['', 'failure_domains', 'organisations/0', 'services/0', 'review'],
    )
    def test_controls_have_labels_and_unique_identifiers(self, editor, section):
        if '/' in section:
            show_section(editor, section.partition('/')[0])
        show_section(editor, section)
        page = editor.page
        assert len(page.identifiers) == len(set(page.identifiers))
        hidden = {'token', 'section', 'draft', 'loaded'}
        controls = set(page.values) - hidden
        assert len(page.labels) == len(controls)
        assert page.labels <= set(page.identifiers)
        assert page.described <= set(page.identifiers)

    def test_pages_have_no_scripts_and_a_strict_policy(self, editor):
        assert b'<script' not in editor.body
        assert b'style=' not in editor.body
        policy = editor.headers['Content-Security-Policy']
        assert "default-src 'none'" in policy

    def test_enter_key_only_applies(self, editor):
        show_section(editor, 'failure_domains')
        assert editor.page.buttons[0] == ('action', 'show:failure_domains')

    def test_stylesheet_and_status(self, browser):
        assert browser.open('/style.css').status == 200
        browser.open('/status')
        assert 'unreachable' in browser.visible_text
        assert browser.open('/nowhere').status == 404

    def test_status_page_shows_problems_first(self):
        node = make_node(
            make_parts(IDENTITY, '127.0.0.1:1', 'kandy', 'secret', (), 1), 0, 0
        )
        node.identity = IDENTITY
        status_without_document = describe_node(node, START)
        node.handle(DocumentRead(TEXT), START)
        node.handle(
            LoadRead('writer-0', LoadReport('writer-0', 7, 2, 9)), START
        )
        reports = (
            InstanceReport('b', None, 'no answer'),
            InstanceReport('a', describe_node(node, START)),
            InstanceReport('c', status_without_document),
        )
        visible_text = render_status(Frame('', True), reports)
        assert visible_text.index('no_document') < visible_text.index(
            '<h2>entry-1</h2>'
        )
        assert 'no answer' in visible_text
        assert '<th scope="row">writer-0</th>' in visible_text


class TestForgeryProtection:
    def test_post_without_a_token_is_refused(self, editor):
        values = {**editor.page.values, 'action': 'show:', 'token': ''}
        assert editor.post('/', values).status == 403

    @pytest.mark.parametrize('token', ['1.x', 'x.y', '9' * 30, '.', 'é'])
    def test_forged_token_is_refused(self, editor, token):
        values = {**editor.page.values, 'action': 'show:', 'token': token}
        assert editor.post('/', values).status == 403

    @pytest.mark.parametrize(
        'headers',
        [
            {'Origin': 'http://evil.example'},
            {'Origin': 'null'},
            {'Sec-Fetch-Site': 'cross-site'},
            {'Sec-Fetch-Site': 'same-site'},
        ],
    )
    def test_post_from_another_site_is_refused(self, editor, headers):
        values = {**editor.page.values, 'action': 'show:'}
        assert editor.post('/', values).status == 200
        assert editor.post('/', values, **headers).status == 403

    @pytest.mark.parametrize('host', ['evil.example', '', '[', 'a:b:c'])
    def test_foreign_host_is_refused(self, browser, host):
        assert browser.open('/', Host=host).status in {400, 421}

    @pytest.mark.parametrize(
        'changes',
        [
            {'action': ''},
            {'action': 'burn:all'},
            {'action': 'add:nothing/here'},
            {'action': 'add:services/99/targets'},
            {'action': 'remove:services/99'},
            {'action': 'remove:'},
            {'action': 'add:'},
            {'action': 'remove:deployment'},
            {'action': 'key:services'},
            {'action': 'key:'},
            {'action': 'show:organisations/x'},
            {'action': 'show:deployment/0'},
            {'action': 'show:services/0/targets/0/name/x'},
            {'action': 'show:', 'section': 'services/99'},
            {'action': 'show:', 'section': 'colour'},
            {'action': 'show:', 'draft': '{'},
            {'action': 'show:', 'draft': '[]'},
            {'action': 'show:', 'draft': ''},
        ],
    )
    def test_invalid_form_is_refused(self, editor, changes):
        editor.post('/', {**editor.page.values, **changes})
        assert editor.status == 400
        assert 'not served' in editor.visible_text

    def test_oversized_and_undecodable_forms_are_refused(self, editor):
        token = editor.page.values['token']
        oversize = {'token': token, 'x': 'a' * 7_990_000}
        assert editor.post('/', oversize).status == 400
        editor._send('POST', '/', b'', {'Content-Length': '8100000'})
        assert editor.status == 413
        editor._send('POST', '/', b'a=%ff', {})
        assert editor.status == 400
        assert editor.open('/', **{'X-A': '1'}).status == 200
        editor._send('PUT', '/', b'', {})
        assert editor.status == 405


class TestCommand:
    @pytest.mark.parametrize(
        ('listen', 'document'),
        [('here', ''), ('127.0.0.1:1', '/nowhere/at/all')],
    )
    def test_invalid_flags_are_refused(self, listen, document):
        with pytest.raises(ImproperlyConfigured):
            run_console(listen, document, StatusSource())
