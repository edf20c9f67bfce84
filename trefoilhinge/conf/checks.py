"""Registers checks of the settings and runs them before startup.

Each check is a function with a stable identifier: ``trefoilhinge.E...``
prevents startup and ``trefoilhinge.W...`` is a warning. The docstring of the
function says what is wrong when it reports a problem, its hint what to change.
"""

import enum
from collections.abc import Callable, Mapping

from attrs import field, frozen

from trefoilhinge.conf.generated.settings import Settings
from trefoilhinge.conf.settings import EffectiveSetting, structure_settings
from trefoilhinge.exceptions import ImproperlyConfigured


class Severity(enum.StrEnum):
    """Severity of a check: an error prevents startup."""

    ERROR = 'error'
    WARNING = 'warning'


@frozen
class CheckContext:
    """Input of the checks.

    :ivar sources: source of the value of each setting, by name.
    """

    settings: Settings
    sources: Mapping[str, str] = field(factory=dict)


# A check returns the problem that it found, empty if there is none.
Check = Callable[[CheckContext], str]


@frozen
class RegisteredCheck:
    """Registered check.

    :ivar identifier: stable identifier, such as ``trefoilhinge.E001``.
    :ivar hint: what to change if the check reports a problem.
    :ivar check: function that runs the check.
    """

    identifier: str
    hint: str
    check: Check

    @property
    def severity(self) -> Severity:
        """Return the severity, which the identifier encodes."""
        letter = self.identifier.rpartition('.')[2][0]
        return Severity.ERROR if letter == 'E' else Severity.WARNING


@frozen
class CheckMessage:
    """Problem that a check found.

    :ivar identifier: identifier of the check.
    :ivar message: what is wrong.
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

    :param identifier: ``trefoilhinge.E`` or ``.W`` followed by three digits.
    :param hint: what to change if the check reports a problem.
    :raises ValueError: the identifier is already registered.
    """

    def add(check: Check) -> Check:
        if identifier in _registry:
            raise ValueError(f'{identifier} is already registered')
        _registry[identifier] = RegisteredCheck(identifier, hint, check)
        return check

    return add


def list_checks() -> tuple[RegisteredCheck, ...]:
    """Return every registered check, in order of its identifier."""
    return tuple(_registry[name] for name in sorted(_registry))


def run_checks(
    settings: tuple[EffectiveSetting, ...],
) -> tuple[CheckMessage, ...]:
    """Run every check and return the problems, errors first.

    :param settings: effective settings, as ``list_settings`` returns them.
    """
    context = CheckContext(
        structure_settings(settings),
        {one.name: one.source for one in settings},
    )
    messages = [
        CheckMessage(one.identifier, one.severity, message, one.hint)
        for one in list_checks()
        if (message := one.check(context))
    ]
    return tuple(messages)


def require_checks(
    settings: tuple[EffectiveSetting, ...],
) -> list[CheckMessage]:
    """Run every check and return the warnings.

    :raises ImproperlyConfigured: a check found an error.
    """
    messages = run_checks(settings)
    errors = [one for one in messages if one.severity is Severity.ERROR]
    if errors:
        raise ImproperlyConfigured('\n'.join(str(one) for one in errors))
    return list(messages)
