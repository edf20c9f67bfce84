"""Checks of the settings, mainly of combinations of them."""

import pathlib
import re

from trefoilhinge.conf.addresses import is_loopback, is_wildcard, parse_port
from trefoilhinge.conf.checks import CheckContext, register
from trefoilhinge.conf.document_files import read_document_file
from trefoilhinge.conf.generator import load_schema
from trefoilhinge.conf.settings import load_properties

MINIMUM_SECRET_CHARACTERS = 16


@register(
    'trefoilhinge.E001',
    'Give listen and peer_listen different ports.',
)
def check_listeners(context: CheckContext) -> str:
    """Both listeners would bind the same port."""
    caller_address = context.settings.listen
    peer_address = context.settings.peer_listen
    has_wildcard = is_wildcard(caller_address) or is_wildcard(peer_address)
    same_port = parse_port(caller_address) == parse_port(peer_address)
    if caller_address == peer_address or (has_wildcard and same_port):
        return f'listen is {caller_address} and peer_listen is {peer_address}.'
    return ''


@register(
    'trefoilhinge.E002',
    'Set both tls_certificate and tls_key, or neither.',
)
def check_tls_pair(context: CheckContext) -> str:
    """Only one of the TLS certificate and its key is set."""
    settings = context.settings
    if bool(settings.tls_certificate) == bool(settings.tls_key):
        return ''
    missing = 'tls_certificate' if settings.tls_key else 'tls_key'
    return f'{missing} is missing.'


@register(
    'trefoilhinge.E003',
    'Set paths of files that this process can read.',
)
def check_files(context: CheckContext) -> str:
    """A file that a setting names cannot be read."""
    problems = []
    for name, schema in load_properties().items():
        path = getattr(context.settings, name)
        if schema.get('format') == 'path' and path:
            reason = _find_file_error(path)
            if reason:
                problems.append(f'{name}: {path}: {reason}.')
    return ' '.join(problems)


@register(
    'trefoilhinge.E004',
    'Set configuration_url, document_file or seeds.',
)
def check_document_source(context: CheckContext) -> str:
    """The instance has no source to get a document from."""
    settings = context.settings
    sources = (
        settings.configuration_url,
        settings.document_file,
        settings.seeds,
    )
    return '' if any(sources) else 'No source of a document is set.'


@register(
    'trefoilhinge.E005',
    'Set trace_endpoint, or trace_exporter to none.',
)
def check_trace_endpoint(context: CheckContext) -> str:
    """The otlp exporter has no endpoint to send to."""
    settings = context.settings
    if settings.trace_exporter == 'otlp' and not settings.trace_endpoint:
        return 'trace_exporter is otlp and trace_endpoint is empty.'
    return ''


@register(
    'trefoilhinge.E006',
    'Set peer_secret to the same long random string on every instance.',
)
def check_peer_secret(context: CheckContext) -> str:
    """Any client that reaches the peer listener could impersonate a peer."""
    settings = context.settings
    exposed = settings.seeds or not is_loopback(settings.peer_listen)
    if exposed and not settings.peer_secret:
        return 'peer_secret is empty, but peers can connect.'
    return ''


@register(
    'trefoilhinge.E007',
    'Set advertise to the address that peers use to reach this instance.',
)
def check_advertised(context: CheckContext) -> str:
    """The address advertised to peers is a wildcard, not one machine's."""
    settings = context.settings
    advertised = settings.advertise or settings.peer_listen
    if is_wildcard(advertised):
        return f'The advertised address is {advertised}.'
    return ''


@register(
    'trefoilhinge.E008',
    'Write 1 to 63 lower-case letters, digits, dots, dashes or underscores.',
)
def check_names(context: CheckContext) -> str:
    """A name does not match the pattern that documents and peers require."""
    pattern = load_schema('document')['$defs']['Name']['pattern']
    problems = []
    for setting in ('instance', 'failure_domain'):
        name = getattr(context.settings, setting)
        if re.fullmatch(pattern, name) is None or name.endswith('\n'):
            problems.append(f'{setting} is {name!r}.')
    return ' '.join(problems)


@register(
    'trefoilhinge.E009',
    'Run trefoilhinge check to list every problem of the file.',
)
def check_document_file(context: CheckContext) -> str:
    """The file in document_file does not contain a valid document."""
    path = context.settings.document_file
    if not path or _find_file_error(path):
        return ''
    read = read_document_file(path)
    return '' if read.is_ok() else f'{path}: {read.error[0]}.'


@register(
    'trefoilhinge.W001',
    'Set configuration_url, unless documents are to come from peers alone.',
)
def check_configuration_url(context: CheckContext) -> str:
    """New documents are not read from the configuration service."""
    if context.settings.configuration_url:
        return ''
    return 'configuration_url is empty.'


@register(
    'trefoilhinge.W002',
    f'Write at least {MINIMUM_SECRET_CHARACTERS} random characters.',
)
def check_secret_length(context: CheckContext) -> str:
    """The secret is short enough to be guessed."""
    secret = context.settings.peer_secret
    if 0 < len(secret) < MINIMUM_SECRET_CHARACTERS:
        return f'peer_secret has {len(secret)} characters.'
    return ''


@register(
    'trefoilhinge.W003',
    'Use the environment variable: flags are visible in process lists.',
)
def check_secret_flags(context: CheckContext) -> str:
    """A secret is set by a flag."""
    problems = [
        f'{name} is set by a flag.'
        for name, schema in load_properties().items()
        if schema.get('secret') and context.sources.get(name) == 'flag'
    ]
    return ' '.join(problems)


@register(
    'trefoilhinge.W004',
    'Use a separate credential for the targets.',
)
def check_shared_secret(context: CheckContext) -> str:
    """Targets would receive the secret that instances share."""
    settings = context.settings
    if settings.peer_secret and settings.peer_secret == settings.order_token:
        return 'order_token is the same as peer_secret.'
    return ''


@register(
    'trefoilhinge.W005',
    'Use the replacement that the settings reference names.',
)
def check_deprecated(context: CheckContext) -> str:
    """A deprecated setting is in use, which a later release removes."""
    problems = [
        f'{name} is deprecated.'
        for name, schema in load_properties().items()
        if schema.get('deprecated')
        and context.sources.get(name, 'default') != 'default'
    ]
    return ' '.join(problems)


def _find_file_error(path: str) -> str:
    try:
        with pathlib.Path(path).open('rb') as opened:
            opened.read(1)
    except (OSError, ValueError) as error:
        return getattr(error, 'strerror', None) or str(error)
    return ''
