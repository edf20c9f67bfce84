"""Commands that list and check settings."""

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
    """Print the effective settings and the messages of the checks.

    :param flags: settings given on the command line, by name.
    :return: exit code; warnings alone do not fail.
    """
    resolved = list_settings(flags)
    for item in resolved:
        print(f'{item.name}={item.display_value!r}  ({item.source})')
    messages = run_checks(resolved)
    for message in messages:
        print(message, file=sys.stderr)
    failed = any(item.severity is Severity.ERROR for item in messages)
    return EXIT_ERROR if failed else EXIT_SUCCESS


def load_checked_settings(flags: Mapping[str, RawValue]) -> Settings:
    """Load and check the settings, and print warnings to standard error.

    :param flags: settings given on the command line, by name.
    :raises ImproperlyConfigured: a setting is invalid or a check failed.
    """
    resolved = list_settings(flags)
    for warning in require_checks(resolved):
        print(warning, file=sys.stderr)
    return structure_settings(resolved)


def print_settings_help() -> int:
    """Print each setting's environment variable, default and description."""
    for name, schema in load_properties().items():
        default = repr(schema['default']) if 'default' in schema else 'required'
        print(f'--{name}  ({ENVIRONMENT_PREFIX}{name.upper()}; {default})')
        print(f'    {schema["description"]}')
    return EXIT_SUCCESS
