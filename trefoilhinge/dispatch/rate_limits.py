"""Request rates that targets in need name for all instances together."""

from attrs import define, evolve, field, frozen

# A lower rate would keep a target without requests, and only an answer shows
# that its limit has ended.
MINIMUM_REQUESTS_PER_S = 0.1
# Interval at which a limit is announced that has not changed, as an earlier
# announcement may be lost.
ANNOUNCEMENT_INTERVAL_S = 1.0
# Rates are multiples of a request in this many seconds, so that all instances
# compare the same number.
RATE_UNITS = 1_000_000


@frozen
class NamedRate:
    """What one answer of a target says about its limit.

    The moment at which the target wrote it is known as an interval only.

    :ivar started_ms: wall-clock milliseconds of the target's start.
    :ivar requests_per_s: rate that it takes from all instances together, none
        if it names no limit.
    :ivar earliest_s: monotonic seconds before which it was not written, when
        the request was sent.
    :ivar latest_s: monotonic seconds at which it was read.
    """

    target: str
    started_ms: int
    requests_per_s: float | None
    earliest_s: float
    latest_s: float

    def is_lower_than(self, other: 'NamedRate') -> bool:
        """Return whether it allows fewer requests than another one."""
        if self.requests_per_s is None:
            return False
        return (
            other.requests_per_s is None
            or self.requests_per_s < other.requests_per_s
        )


@define
class RateLimitTable:
    """The limits of all targets.

    A lower rate replaces a higher one unless it is certainly older. A higher
    rate, or the end of a limit, applies only if it is certainly newer, so that
    an answer that was delayed on its way never lifts a limit.
    """

    _named: dict[str, NamedRate] = field(factory=dict)
    _problems: dict[str, str] = field(factory=dict)
    _announced_s: dict[str, float] = field(factory=dict)

    def is_new_problem(self, target: str, problem: str) -> bool:
        """Record why a limit cannot be read; return whether that is new."""
        is_new = self._problems.get(target) != problem
        self._problems[target] = problem
        return is_new

    def record(self, named: NamedRate) -> NamedRate | None:
        """Apply what a target said.

        :return: what was known before if the limit changed, else none.
        """
        known = self._named.get(named.target)
        if known is None or known.started_ms < named.started_ms:
            known = evolve(
                named,
                requests_per_s=None,
                earliest_s=float('-inf'),
                latest_s=float('-inf'),
            )
        if known.started_ms > named.started_ms:
            return None
        if known.requests_per_s == named.requests_per_s:
            self._confirm(known, named)
        elif _replaces(named, known):
            self._named[named.target] = named
            return known
        return None

    def record_announcement(self, target: str, now_s: float) -> None:
        """Record that the limit of a target was announced to all instances."""
        self._announced_s[target] = now_s

    def needs_announcement(self, target: str, now_s: float) -> bool:
        """Return whether the limit of a target is to be announced again."""
        announced_s = self._announced_s.get(target, float('-inf'))
        return now_s - announced_s >= ANNOUNCEMENT_INTERVAL_S

    def get(self, target: str, started_ms: int) -> float | None:
        """Return the limit of an incarnation, requests per second, if any."""
        known = self._named.get(target)
        if known is None or known.started_ms != started_ms:
            return None
        return known.requests_per_s

    def remove(self, target: str) -> None:
        """Remove a target that has departed."""
        self._named.pop(target, None)
        self._problems.pop(target, None)
        self._announced_s.pop(target, None)

    def find_named(self, target: str) -> NamedRate | None:
        """Return what a target said last, if it ever named a limit."""
        return self._named.get(target)

    def list_limits(self) -> list[NamedRate]:
        """Return the limits in force, by target."""
        return sorted(
            (
                named
                for named in self._named.values()
                if named.requests_per_s is not None
            ),
            key=lambda named: named.target,
        )

    def _confirm(self, known: NamedRate, named: NamedRate) -> None:
        if named.target not in self._named and named.requests_per_s is None:
            return
        self._named[named.target] = evolve(
            named,
            earliest_s=max(known.earliest_s, named.earliest_s),
            latest_s=max(known.latest_s, named.latest_s),
        )


def _replaces(named: NamedRate, known: NamedRate) -> bool:
    if named.is_lower_than(known):
        return named.latest_s >= known.earliest_s
    return named.earliest_s > known.latest_s
