"""Reading of the settings file of an instance."""

import os
import pathlib
import resource

from attrs import evolve

from trefoilhinge.dispatch.settings import GatewaySettings
from trefoilhinge.exceptions import ImproperlyConfigured
from trefoilhinge.platform.settings import (
    SETTINGS_PATH_VARIABLE,
    decode_settings,
)

# Set to 'off' to place calls as without learned costs, for a comparison.
LEARNED_COSTS_VARIABLE = 'TREFOILHINGE_LEARNED_COSTS'
# Set to 'on' to let calls wait in one order where callers compete for room. It
# is off by default: fewer calls were served with it, for more processor time.
ADMISSION_VARIABLE = 'TREFOILHINGE_ADMISSION'
# Set to 'off' to let each instance read the store, for a comparison.
STORE_READERS_VARIABLE = 'TREFOILHINGE_STORE_READERS'
SWITCH_VALUES = ('on', 'off')


def load_settings() -> GatewaySettings:
    """Read the settings file that the environment names.

    :raises ImproperlyConfigured: the variable is not set, the file cannot be
        read, or ``TREFOILHINGE_LEARNED_COSTS``, ``TREFOILHINGE_ADMISSION`` or
        ``TREFOILHINGE_STORE_READERS`` is neither ``on`` nor ``off``.
    """
    path = os.environ.get(SETTINGS_PATH_VARIABLE)
    if not path:
        raise ImproperlyConfigured(
            f'set {SETTINGS_PATH_VARIABLE} to the path of the settings file',
        )
    allows_learned_costs = _read_switch(LEARNED_COSTS_VARIABLE, 'on')
    allows_admission = _read_switch(ADMISSION_VARIABLE, 'off')
    allows_store_readers = _read_switch(STORE_READERS_VARIABLE, 'on')
    settings = read_settings(path)
    return evolve(
        settings,
        memory_bytes=settings.memory_bytes or find_memory_bytes(),
        descriptors=settings.descriptors or find_descriptors(),
        allows_learned_costs=allows_learned_costs,
        allows_admission=allows_admission,
        allows_store_readers=allows_store_readers,
    )


def find_memory_bytes() -> int:
    """Return the memory of the machine."""
    return os.sysconf('SC_PHYS_PAGES') * os.sysconf('SC_PAGE_SIZE')


def find_descriptors() -> int:
    """Return how many descriptors the process may open, zero if any number."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return 0 if soft == resource.RLIM_INFINITY else soft


def _read_switch(variable: str, default: str) -> bool:
    text = os.environ.get(variable) or default
    if text not in SWITCH_VALUES:
        raise ImproperlyConfigured(f'{variable} is {text!r}, not on or off')
    return text == 'on'


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
