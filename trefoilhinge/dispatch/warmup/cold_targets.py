"""Cold targets, and the requests that they get meanwhile."""

from collections import deque

from attrs import define, field, frozen

from trefoilhinge.dispatch.departures import Incarnation
from trefoilhinge.dispatch.warmup.durations import MAXIMUM_COLD_S
from trefoilhinge.dispatch.warmup.quotas import compute_quota

RATE_WINDOW_S = 1.0
# A request that is sent later than another one by less than this may arrive in
# the same second, as connections are delayed differently.
QUOTA_WINDOW_S = 1.3
# Of the published rate, for runs that are not yet announced.
ANNOUNCED_FRACTION = 0.9
# Between two looks at the known instances: each changes all quotas, which takes
# 14 ms at 410 instances and 54 cold targets.
OTHERS_INTERVAL_S = 0.25
MAXIMUM_COLD_TARGETS = 500


@frozen
class ColdLimits:
    """Requests that one cold target takes from all instances together.

    :ivar requests_per_s: published rate.
    :ivar requests: most requests in any one second.
    """

    requests_per_s: float
    requests: float


@define
class _ColdTarget:
    """One cold incarnation.

    :ivar until_s: monotonic seconds at which it is warm.
    :ivar runs_s: latest starts of runs there, of all instances.
    :ivar sent_s: latest sends of this instance.
    """

    until_s: float
    runs_s: deque[float] = field(factory=deque)
    sent_s: deque[float] = field(factory=deque)
    quota: int | None = None

    def expire(self, now_s: float) -> None:
        """Forget runs and sends that have left their windows."""
        while self.runs_s and self.runs_s[0] <= now_s - RATE_WINDOW_S:
            self.runs_s.popleft()
        while self.sent_s and self.sent_s[0] <= now_s - QUOTA_WINDOW_S:
            self.sent_s.popleft()


@define
class ColdTable:
    """Cold targets, the runs of all instances and the sends of this one.

    Runs that are announced keep the sum below the published rate. The quota
    of each instance keeps it below the limit, even if no message arrives.
    """

    _own_ip: str
    _targets: dict[Incarnation, _ColdTarget] = field(factory=dict)
    _others: frozenset[str] = frozenset()
    _named_s: float = float('-inf')

    def mark(
        self, incarnation: Incarnation, cold_s: float, now_s: float
    ) -> bool:
        """Record that a target stays cold; a shorter time shortens nothing.

        :return: whether it was not cold before.
        """
        if cold_s <= 0:
            return False
        until_s = now_s + min(cold_s, MAXIMUM_COLD_S)
        known = self._targets.get(incarnation)
        if known is None:
            self._targets[incarnation] = _ColdTarget(until_s)
            if len(self._targets) > MAXIMUM_COLD_TARGETS:
                self._targets.pop(next(iter(self._targets)))
            return True
        was_cold = known.until_s > now_s
        known.until_s = max(known.until_s, until_s)
        return not was_cold

    def mark_warm(self, incarnation: Incarnation) -> None:
        """Record that a target says that it is not cold."""
        self._targets.pop(incarnation, None)

    @property
    def is_empty(self) -> bool:
        """Return whether no target was cold of late."""
        return not self._targets

    def remove_ended(self, now_s: float) -> None:
        """Remove targets that are warm."""
        for incarnation, target in tuple(self._targets.items()):
            if target.until_s <= now_s:
                self._targets.pop(incarnation)

    def is_cold(self, incarnation: Incarnation, now_s: float) -> bool:
        """Return whether a target is cold."""
        target = self._targets.get(incarnation)
        return target is not None and target.until_s > now_s

    def list_remaining(self, now_s: float) -> list[tuple[Incarnation, float]]:
        """Return the cold targets, and the seconds for which they are."""
        return [
            (incarnation, target.until_s - now_s)
            for incarnation, target in self._targets.items()
            if target.until_s > now_s
        ]

    def needs_others(self, now_s: float) -> bool:
        """Return whether the other instances are to be named again."""
        return now_s >= self._named_s + OTHERS_INTERVAL_S

    def update_others(self, others: frozenset[str], now_s: float) -> None:
        """Use the other instances that may run, silent ones included."""
        self._named_s = now_s
        if others != self._others:
            self._others = others
            for target in self._targets.values():
                target.quota = None

    def record_run(self, incarnation: Incarnation, now_s: float) -> None:
        """Record that an instance placed a run at a target."""
        target = self._targets.get(incarnation)
        if target is not None:
            target.expire(now_s)
            target.runs_s.append(now_s)

    def has_room(
        self, incarnation: Incarnation, limits: ColdLimits, now_s: float
    ) -> bool:
        """Return whether this instance may place a run at a target now."""
        return self.compute_wait_s(incarnation, limits, now_s) == 0

    def compute_wait_s(
        self, incarnation: Incarnation, limits: ColdLimits, now_s: float
    ) -> float:
        """Return seconds until this instance may place a run at a target."""
        target = self._targets.get(incarnation)
        if target is None or target.until_s <= now_s:
            return 0
        target.expire(now_s)
        wait_s = self._compute_quota_wait_s(incarnation, target, limits, now_s)
        most = max(1, int(limits.requests_per_s * ANNOUNCED_FRACTION))
        if len(target.runs_s) >= most:
            oldest_s = target.runs_s[-most]
            wait_s = max(wait_s, oldest_s + RATE_WINDOW_S - now_s)
        return min(wait_s, target.until_s - now_s)

    def take(
        self, incarnation: Incarnation, limits: ColdLimits, now_s: float
    ) -> bool:
        """Count a request that is sent now, if the quota allows it."""
        target = self._targets.get(incarnation)
        if target is None or target.until_s <= now_s:
            return True
        target.expire(now_s)
        if self._compute_quota_wait_s(incarnation, target, limits, now_s) > 0:
            return False
        target.sent_s.append(now_s)
        return True

    def _compute_quota_wait_s(
        self,
        incarnation: Incarnation,
        target: _ColdTarget,
        limits: ColdLimits,
        now_s: float,
    ) -> float:
        quota = target.quota
        if quota is None:
            quota = compute_quota(
                incarnation, self._own_ip, self._others, limits.requests
            )
            target.quota = quota
        if len(target.sent_s) < quota:
            return 0
        if not quota:
            return target.until_s - now_s
        return target.sent_s[-quota] + QUOTA_WINDOW_S - now_s
