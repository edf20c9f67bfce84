"""Checks of settings that only make sense together."""

import pathlib
import re

from trefoilhinge.conf.addresses import parse_port, is_loopback, is_wildcard
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
    """Both listeners would open the same port."""
    callers = context.settings.listen
    peers = context.settings.peer_listen
    either = is_wildcard(callers) or is_wildcard(peers)
    same_port = parse_port(callers) == parse_port(peers)
    if callers == peers or (either and same_port):
        return f'listen is {callers} and peer_listen is {peers}.'
    return ''


@register(
    'trefoilhinge.E002',
    'Set both tls_certificate and tls_key, or neither.',
)
def check_tls_pair(context: CheckContext) -> str:
    """One half of the pair of certificate and key is missing."""
    settings = context.settings
    if bool(settings.tls_certificate) == bool(settings.tls_key):
        return ''
    missing = 'tls_certificate' if settings.tls_key else 'tls_key'
    return f'{missing} is missing.'


@register(
    'trefoilhinge.E003',
    'Give paths of files that this process may read.',
)
def check_files(context: CheckContext) -> str:
    """A file that a setting names cannot be read."""
    found = []
    for name, schema in load_properties().items():
        path = getattr(context.settings, name)
        if schema.get('format') == 'path' and path:
            reason = _find_file_error(path)
            if reason:
                found.append(f'{name}: {path}: {reason}.')
    return ' '.join(found)


@register(
    'trefoilhinge.E004',
    'Set configuration_url, document_file or seeds.',
)
def check_document_source(context: CheckContext) -> str:
    """The instance would never get a document."""
    settings = context.settings
    sources = (
        settings.configuration_url,
        settings.document_file,
        settings.seeds,
    )
    return '' if any(sources) else 'There is no source of a document.'


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
    'Set peer_secret to one long random text on every instance.',
)
def check_peer_secret(context: CheckContext) -> str:
    """Anyone who reaches the peer listener could pose as a peer."""
    settings = context.settings
    exposed = settings.seeds or not is_loopback(settings.peer_listen)
    if exposed and not settings.peer_secret:
        return 'peer_secret is empty beside peers.'
    return ''


@register(
    'trefoilhinge.E007',
    'Set advertise to the IP number that peers reach this instance at.',
)
def check_advertised(context: CheckContext) -> str:
    """Peers would be told an address that names no machine."""
    settings = context.settings
    advertised = settings.advertise or settings.peer_listen
    if is_wildcard(advertised):
        return f'Peers would be told {advertised}.'
    return ''


@register(
    'trefoilhinge.E008',
    'Write 1 to 63 lower-case letters, digits, dots, dashes or underscores.',
)
def check_names(context: CheckContext) -> str:
    """A name has not the form that the document and the peers take."""
    pattern = load_schema('document')['$defs']['Name']['pattern']
    found = []
    for setting in ('instance', 'failure_domain'):
        name = getattr(context.settings, setting)
        if re.fullmatch(pattern, name) is None or name.endswith('\n'):
            found.append(f'{setting} is {name!r}.')
    return ' '.join(found)


@register(
    'trefoilhinge.E009',
    'See trefoilhinge check for every problem of the file.',
)
def check_document_file(context: CheckContext) -> str:
    """The file of document_file holds no valid document."""
    path = context.settings.document_file
    if not path or _find_file_error(path):
        return ''
    read = read_document_file(path)
    return '' if read.is_ok() else f'{path}: {read.error[0]}.'


@register(
    'trefoilhinge.W001',
    'Set configuration_url, unless peers alone are to pass documents on.',
)
def check_configuration_url(context: CheckContext) -> str:
    """No new document would be read from the platform."""
    if context.settings.configuration_url:
        return ''
    return 'configuration_url is empty.'


@register(
    'trefoilhinge.W002',
    f'Write at least {MINIMUM_SECRET_CHARACTERS} random characters.',
)
def check_secret_length(context: CheckContext) -> str:
    """A short secret can be guessed."""
    secret = context.settings.peer_secret
    if 0 < len(secret) < MINIMUM_SECRET_CHARACTERS:
        return f'peer_secret has {len(secret)} characters.'
    return ''


@register(
    'trefoilhinge.W003',
    'Set it by its environment variable: flags show in process lists.',
)
def check_secret_flags(context: CheckContext) -> str:
    """A secret was given as a flag."""
    found = [
        f'{name} was given as a flag.'
        for name, schema in load_properties().items()
        if schema.get('secret') and context.sources.get(name) == 'flag'
    ]
    return ' '.join(found)


@register(
    'trefoilhinge.W004',
    'Give the targets a credential of their own.',
)
def check_shared_secret(context: CheckContext) -> str:
    """Targets would learn the secret of the instances."""
    settings = context.settings
    if settings.peer_secret and settings.peer_secret == settings.order_token:
        return 'order_token is the same as peer_secret.'
    return ''


@register(
    'trefoilhinge.W005',
    'Use what the settings reference names in its place.',
)
def check_deprecated(context: CheckContext) -> str:
    """A setting is in use that a later release removes."""
    found = [
        f'{name} is deprecated.'
        for name, schema in load_properties().items()
        if schema.get('deprecated')
        and context.sources.get(name, 'default') != 'default'
    ]
    return ' '.join(found)


def _find_file_error(path: str) -> str:
    try:
        with pathlib.Path(path).open('rb') as opened:
            opened.read(1)
    except (OSError, ValueError) as error:
        return getattr(error, 'strerror', None) or str(error)
    return ''
