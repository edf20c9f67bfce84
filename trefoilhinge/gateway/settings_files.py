"""Reading of the settings file of an instance."""

import os
import pathlib

from attrs import evolve

from trefoilhinge.dispatch.settings import GatewaySettings
from trefoilhinge.exceptions import ImproperlyConfigured
from trefoilhinge.platform.settings import (
    SETTINGS_PATH_VARIABLE,
    decode_settings,
)

# Set to 'off' to place calls as without learned costs, for a comparison.
LEARNED_COSTS_VARIABLE = 'TREFOILHINGE_LEARNED_COSTS'
LEARNED_COSTS_VALUES = ('on', 'off')


def load_settings() -> GatewaySettings:
    """Read the settings file that the environment names.

    :raises ImproperlyConfigured: the variable is not set, the file cannot be
        read, or ``TREFOILHINGE_LEARNED_COSTS`` is neither ``on`` nor ``off``.
    """
    path = os.environ.get(SETTINGS_PATH_VARIABLE)
    if not path:
        raise ImproperlyConfigured(
            f'set {SETTINGS_PATH_VARIABLE} to the path of the settings file',
        )
    learned_costs = os.environ.get(LEARNED_COSTS_VARIABLE) or 'on'
    if learned_costs not in LEARNED_COSTS_VALUES:
        raise ImproperlyConfigured(
            f'{LEARNED_COSTS_VARIABLE} is {learned_costs!r}, not on or off',
        )
    return evolve(
        read_settings(path), allows_learned_costs=learned_costs == 'on'
    )


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
