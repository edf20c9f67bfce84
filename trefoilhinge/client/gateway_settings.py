"""Display of the gateway's settings as decoded from the platform's file."""

from collections.abc import Iterator

from attrs import asdict

from trefoilhinge.client.exit_codes import EXIT_SUCCESS
from trefoilhinge.dispatch.settings import GatewaySettings
from trefoilhinge.gateway.settings_files import read_settings
from trefoilhinge.platform.settings import SETTING_SOURCES

NONE_TEXT = 'none'


def print_gateway_settings(file: str) -> int:
    """Print each setting with its value and its field in the file.

    :param file: path of the settings file.
    :return: exit code.
    :raises ImproperlyConfigured: the file cannot be read or decoded; the
        message names the invalid field.
    """
    for name, value in list_settings(read_settings(file)):
        print(f'{name} = {value}  ({SETTING_SOURCES[name]})')
    return EXIT_SUCCESS


def list_settings(settings: GatewaySettings) -> Iterator[tuple[str, str]]:
    """Yield the name and the formatted value of each setting."""
    for name, value in asdict(settings).items():
        if isinstance(value, dict):
            for key, number in value.items():
                yield f'{name}.{key}', f'{number:g}'
        else:
            yield name, _format_value(value)


def _format_value(value: object) -> str:
    match value:
        case None:
            return NONE_TEXT
        case (str(host), int(port)):
            return f'{host}:{port}'
        case [*entries]:
            return ', '.join(map(str, entries)) or NONE_TEXT
    return str(value)
