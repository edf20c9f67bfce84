"""Registers checks of valid documents.

Each check is a function with a stable identifier: ``trefoilhinge.E...`` is an
error, ``trefoilhinge.W...`` a warning. The docstring of the function says what
is wrong when it reports a place, its hint what to change.
"""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from attrs import field, frozen

from trefoilhinge.conf.checks import Severity

Context = TypeVar('Context')


@frozen
class Place:
    """Place that a check reports.

    :ivar path: JSON path of the value.
    :ivar wrong: what is wrong there.
    """

    path: str
    wrong: str


@frozen
class Finding:
    """Problem of a document that can be decoded.

    :ivar identifier: identifier of the check.
    :ivar path: JSON path of the value.
    :ivar wrong: what is wrong there.
    :ivar hint: what to change.
    """

    identifier: str
    severity: Severity
    path: str
    wrong: str
    hint: str

    def __str__(self) -> str:
        """Return the finding as one line."""
        return (
            f'{self.identifier} {self.severity}: {self.path}: {self.wrong}; '
            f'{self.hint}'
        )


Findings = tuple[Finding, ...]
DocumentCheck = Callable[[Context], Iterator[Place]]


@frozen
class RegisteredDocumentCheck(Generic[Context]):
    """Registered check of a document.

    :ivar identifier: stable identifier, such as ``trefoilhinge.W101``.
    :ivar hint: what to change if the check reports a place.
    """

    identifier: str
    hint: str
    check: DocumentCheck[Context]

    @property
    def severity(self) -> Severity:
        """Return the severity, which the identifier encodes."""
        letter = self.identifier.rpartition('.')[2][0]
        return Severity.ERROR if letter == 'E' else Severity.WARNING

    @property
    def meaning(self) -> str:
        """Return what is wrong, from the docstring of the function."""
        return ' '.join((self.check.__doc__ or '').split())


@frozen
class Registry(Generic[Context]):
    """Checks of one form of document."""

    _checks: dict[str, RegisteredDocumentCheck[Context]] = field(factory=dict)

    def register(
        self, identifier: str, hint: str
    ) -> Callable[[DocumentCheck[Context]], DocumentCheck[Context]]:
        """Return a decorator that registers a check.

        :raises ValueError: the identifier is already registered.
        """

        def add(check: DocumentCheck[Context]) -> DocumentCheck[Context]:
            if identifier in self._checks:
                raise ValueError(f'{identifier} is already registered')
            self._checks[identifier] = RegisteredDocumentCheck(
                identifier, hint, check
            )
            return check

        return add

    def list_checks(self) -> tuple[RegisteredDocumentCheck[Context], ...]:
        """Return every check, in order of its identifier."""
        return tuple(self._checks[name] for name in sorted(self._checks))

    def find(self, context: Context) -> Findings:
        """Run every check and return the findings, errors first."""
        findings: list[Finding] = []
        for one in self.list_checks():
            findings.extend(
                Finding(
                    one.identifier,
                    one.severity,
                    place.path,
                    place.wrong,
                    one.hint,
                )
                for place in one.check(context)
            )
        return tuple(findings)
