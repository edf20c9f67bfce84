"""Commands on settings."""

import sys
from collections.abc import Mapping

from trefoilhinge.client.exit_codes import EXIT_ERROR, EXIT_SUCCESS
from trefoilhinge.conf import settings_checks  # noqa: F401
from trefoilhinge.conf.checks import Severity, require_checks, run_checks
from trefoilhinge.conf.generated.settings import Settings
from trefoilhinge.conf.settings import (
    ENVIRONMENT_PREFIX,
    list_settings,
    load_properties,
    structure_settings,
)
from trefoilhinge.conf.settings_conversion import RawValue


def check_settings(flags: Mapping[str, RawValue]) -> int:
    """List the settings in force and what the checks found.

    :return: an exit code; warnings alone do not fail.
    """
    resolved = list_settings(flags)
    for one in resolved:
        print(f'{one.name}={one.display_value!r}  ({one.source})')
    messages = run_checks(resolved)
    for message in messages:
        print(message, file=sys.stderr)
    failed = any(one.severity is Severity.ERROR for one in messages)
    return EXIT_ERROR if failed else EXIT_SUCCESS


def load_checked_settings(flags: Mapping[str, RawValue]) -> Settings:
    """Return settings that every check passed; print warnings.

    :raises ImproperlyConfigured: a setting is wrong or a check failed.
    """
    resolved = list_settings(flags)
    for warning in require_checks(resolved):
        print(warning, file=sys.stderr)
    return structure_settings(resolved)


def print_settings_help() -> int:
    """Print every setting with its default and description."""
    for name, schema in load_properties().items():
        default = repr(schema['default']) if 'default' in schema else 'required'
        print(f'--{name}  ({ENVIRONMENT_PREFIX}{name.upper()}; {default})')
        print(f'    {schema["description"]}')
    return EXIT_SUCCESS
