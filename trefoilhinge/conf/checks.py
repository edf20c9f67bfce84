"""Registers checks of the settings and runs them before a start.

Each check is a function with one stable identifier: ``trefoilhinge.E...``
stops a start and ``trefoilhinge.W...`` warns. Its docstring says what is
wrong when it reports something, and its hint what to change.
"""

import enum
from collections.abc import Callable, Mapping

from attrs import field, frozen

from trefoilhinge.conf.generated.settings import Settings
from trefoilhinge.conf.settings import EffectiveSetting, structure_settings
from trefoilhinge.exceptions import ImproperlyConfigured


class Severity(enum.StrEnum):
    """What follows from a check that reports something."""

    ERROR = 'error'
    WARNING = 'warning'


@frozen
class CheckContext:
    """What checks look at.

    :ivar sources: where each setting's value came from, by name.
    """

    settings: Settings
    sources: Mapping[str, str] = field(factory=dict)


# A check returns what it found, empty if all is well.
Check = Callable[[CheckContext], str]


@frozen
class RegisteredCheck:
    """A check in the registry.

    :ivar identifier: stable name, such as ``trefoilhinge.E001``.
    :ivar hint: what to change.
    """

    identifier: str
    hint: str
    check: Check

    @property
    def severity(self) -> Severity:
        """Return the severity that the identifier carries."""
        letter = self.identifier.rpartition('.')[2][0]
        return Severity.ERROR if letter == 'E' else Severity.WARNING


@frozen
class CheckMessage:
    """What a check found.

    :ivar hint: what to change.
    """

    identifier: str
    severity: Severity
    message: str
    hint: str

    def __str__(self) -> str:
        """Return the message as one line."""
        return f'{self.identifier} {self.severity}: {self.message} {self.hint}'


_registry: dict[str, RegisteredCheck] = {}


def register(identifier: str, hint: str) -> Callable[[Check], Check]:
    """Return a decorator that registers a check.

    :param identifier: ``trefoilhinge.E`` or ``.W`` and three digits.
    :param hint: what to change when the check reports something.
    :raises ValueError: the identifier is taken.
    """

    def add(check: Check) -> Check:
        if identifier in _registry:
            raise ValueError(f'{identifier} is registered already')
        _registry[identifier] = RegisteredCheck(identifier, hint, check)
        return check

    return add


def list_checks() -> tuple[RegisteredCheck, ...]:
    """Return every registered check, by identifier."""
    return tuple(_registry[name] for name in sorted(_registry))


def run_checks(found: tuple[EffectiveSetting, ...]) -> tuple[CheckMessage, ...]:
    """Run every check and return what they found, errors first.

    :param found: the settings in force, as ``list_settings`` gives them.
    """
    context = CheckContext(
        structure_settings(found),
        {one.name: one.source for one in found},
    )
    messages = [
        CheckMessage(one.identifier, one.severity, message, one.hint)
        for one in list_checks()
        if (message := one.check(context))
    ]
    return tuple(messages)


def require_checks(found: tuple[EffectiveSetting, ...]) -> list[CheckMessage]:
    """Run every check and return the warnings.

    :raises ImproperlyConfigured: a check found an error.
    """
    messages = run_checks(found)
    errors = [one for one in messages if one.severity is Severity.ERROR]
    if errors:
        raise ImproperlyConfigured('\n'.join(str(one) for one in errors))
    return list(messages)
