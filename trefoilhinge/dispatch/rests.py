"""Rests that targets asked this instance for."""

import re
from email.utils import parsedate_to_datetime

from attrs import define, field

from trefoilhinge.dispatch.targets import TargetRecord

# Longest rest that is kept: a target that recovers sooner cannot say so.
MAXIMUM_REST_S = 300.0
# Of memory in use, in one rest: without them its call would be cut off.
MAXIMUM_RENEWALS = 2
MAXIMUM_PROBLEMS = 1_000  # malformed headers that are remembered
_SECONDS_PATTERN = re.compile(rb'\d{1,12}(\.\d{0,12})?|\.\d{1,12}')


def parse_rest(value: bytes, date: bytes) -> tuple[float, str]:
    """Parse the value of a ``Retry-After`` header.

    A date counts from the date of the same response, as clocks differ.

    :param date: value of the ``Date`` header, empty if there is none.
    :return: seconds, at most ``MAXIMUM_REST_S``, and why the header cannot be
        read, empty if it can.
    """
    if _SECONDS_PATTERN.fullmatch(value.strip()):
        return min(float(value), MAXIMUM_REST_S), ''
    try:
        wait_s = _count_seconds(value, date)
    except (TypeError, ValueError, OverflowError):
        return 0, f'{value[:40]!r} is neither seconds nor a date'
    return min(max(0, wait_s), MAXIMUM_REST_S), ''


def _count_seconds(until: bytes, now: bytes) -> float:
    begin = parsedate_to_datetime(now.decode('latin-1'))
    end = parsedate_to_datetime(until.decode('latin-1'))
    return (end - begin).total_seconds()


@define
class _Rest:
    until_s: float
    renewals: int = 0


@define
class RestTable:
    """Targets that want nothing from this instance for a time.

    A rest ends with the incarnation of its target.
    """

    _rests: dict[tuple[str, int], _Rest] = field(factory=dict)
    _problems: set[tuple[str, str]] = field(factory=set)

    @property
    def is_empty(self) -> bool:
        """Return whether no rest is known, not even one that has ended."""
        return not self._rests

    def record(self, record: TargetRecord, rest_s: float, now_s: float) -> bool:
        """Record a rest that a target asked for; return whether it is new."""
        rest = self._rests.get((record.name, record.started_ms))
        until_s = now_s + rest_s
        if rest is not None and rest.until_s > now_s:
            rest.until_s = max(rest.until_s, until_s)
            return False
        self._rests[record.name, record.started_ms] = _Rest(until_s)
        return True

    def compute_wait_s(self, record: TargetRecord, now_s: float) -> float:
        """Return seconds until a target may be asked, zero if it may now."""
        rest = self._rests.get((record.name, record.started_ms))
        return 0 if rest is None else max(0, rest.until_s - now_s)

    def is_resting(self, record: TargetRecord, now_s: float) -> bool:
        """Return whether a target must not be asked now."""
        return bool(self._rests) and self.compute_wait_s(record, now_s) > 0

    def take_renewal(self, record: TargetRecord) -> bool:
        """Return whether memory in use may be renewed in spite of a rest."""
        rest = self._rests.get((record.name, record.started_ms))
        if rest is None:
            return True
        rest.renewals += 1
        return rest.renewals <= MAXIMUM_RENEWALS

    def is_new_problem(self, target: str, problem: str) -> bool:
        """Return whether a malformed header of a target is to be logged."""
        key = (target, problem)
        if key in self._problems or len(self._problems) >= MAXIMUM_PROBLEMS:
            return False
        self._problems.add(key)
        return True

    def remove_ended(self, now_s: float) -> None:
        """Forget the rests that have ended."""
        for key, rest in tuple(self._rests.items()):
            if rest.until_s <= now_s:
                self._rests.pop(key)
