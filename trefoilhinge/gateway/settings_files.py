"""Reading of the settings file of an instance."""

import os
import pathlib

from trefoilhinge.dispatch.settings import GatewaySettings
from trefoilhinge.exceptions import ImproperlyConfigured
from trefoilhinge.platform.settings import (
    SETTINGS_PATH_VARIABLE,
    decode_settings,
)


def load_settings() -> GatewaySettings:
    """Read the settings file that the environment names.

    :raises ImproperlyConfigured: the variable is not set, or the file cannot
        be read.
    """
    path = os.environ.get(SETTINGS_PATH_VARIABLE)
    if not path:
        raise ImproperlyConfigured(
            f'set {SETTINGS_PATH_VARIABLE} to the path of the settings file',
        )
    return read_settings(path)


def read_settings(path: str) -> GatewaySettings:
    """Read a settings file.

    :param path: path of the file.
    :raises ImproperlyConfigured: the file cannot be read.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except OSError as problem:
        raise ImproperlyConfigured(f'{path}: {problem.strerror}') from problem
    return decode_settings(text)
