"""Buckets from which the permits of limited targets are granted."""

from attrs import define, evolve, field, frozen

from trefoilhinge.dispatch.permits import (
    PermitDecision,
    PermitKey,
    PermitRequest,
    PermitVerdict,
    make_decision,
)
from trefoilhinge.limits.buckets import TokenBucket, make_empty_bucket

# Capacity of a bucket: seconds at the rate, but at least one request.
BURST_S = 0.5
# Requests that were sent without a permit are made up for, up to this many
# seconds at the rate.
MAXIMUM_DEBT_S = 4.0
# A waiting instance repeats its request more often than this.
WAITING_EXPIRY_S = 1.0
# A decision is kept to answer a request that is repeated because the answer
# was lost.
DECISION_MEMORY_S = 3.0


@frozen
class _Waiting:
    request: PermitRequest
    latest_s: float
    repeated_s: float


@define
class PermitBucket:
    """The permits of one limited target, as this instance knows them.

    :ivar requests_per_s: rate at which it grants permits.
    """

    requests_per_s: float
    _bucket: TokenBucket
    _waiting: dict[PermitKey, _Waiting] = field(factory=dict)
    _decided: dict[PermitKey, tuple[PermitDecision, float]] = field(
        factory=dict
    )

    def set_rate(self, requests_per_s: float, now_s: float) -> None:
        """Change the rate from now on."""
        self._refill(now_s)
        self.requests_per_s = requests_per_s

    def charge(self, key: PermitKey | None, now_s: float) -> None:
        """Count a request that was sent, unless it had a permit from here.

        :param key: key of its run; none if it belongs to no run.
        """
        self._refill(now_s)
        if key is not None and self._has_granted(key):
            return
        debt = 1 + MAXIMUM_DEBT_S * self.requests_per_s
        lowest = min(self._bucket.level, -debt)
        self._bucket.level = max(self._bucket.level - 1, lowest)

    def estimate_wait_s(self, now_s: float) -> float:
        """Return seconds until a permit is available; zero if one is."""
        self._refill(now_s)
        return self._estimate_wait_s(len(self._waiting))

    def get_level(self, now_s: float) -> float:
        """Return the permits that are available, negative while in debt."""
        self._refill(now_s)
        return self._bucket.level

    def count_waiting(self) -> int:
        """Return the number of requests that wait."""
        return len(self._waiting)

    def apply_wait(self, wait_s: float, now_s: float) -> None:
        """Adopt the wait that the owner stated."""
        self._refill(now_s)
        level = -wait_s * self.requests_per_s
        self._bucket.level = min(self._bucket.level, level)

    def request(
        self, request: PermitRequest, now_s: float
    ) -> list[PermitDecision]:
        """Decide on a request as the owner.

        :return: decisions on this request, and on others that it displaces.
        """
        decided = self._decided.get(request.key)
        if decided is not None:
            return [decided[0]]
        known = self._waiting.get(request.key)
        self._waiting[request.key] = (
            evolve(known, repeated_s=now_s)
            if known
            else _Waiting(request, now_s + request.patience_s, now_s)
        )
        decisions = self.decide_due(now_s)
        if request.key in self._waiting:
            position = self._list_ranked().index(self._waiting[request.key])
            decisions.append(
                make_decision(
                    request,
                    PermitVerdict.waiting,
                    self._estimate_wait_s(position),
                )
            )
        return decisions

    def decide_due(self, now_s: float) -> list[PermitDecision]:
        """Grant permits that are available, refuse what cannot be granted.

        The most urgent requests come first. A request is refused as soon as it
        cannot be granted within the time that it may wait.
        """
        self._refill(now_s)
        self._discard_expired(now_s)
        decisions = []
        position = 0
        for waiting in self._list_ranked():
            request = waiting.request
            if self._bucket.level > 0 and not position:
                self._bucket.level -= 1
                decision = make_decision(request, PermitVerdict.granted, 0)
            else:
                wait_s = self._estimate_wait_s(position)
                if now_s + wait_s <= waiting.latest_s:
                    position += 1
                    continue
                decision = make_decision(request, PermitVerdict.refused, wait_s)
            self._waiting.pop(request.key)
            self._decided[request.key] = (decision, now_s)
            decisions.append(decision)
        return decisions

    def find_due_s(self, now_s: float) -> float | None:
        """Return seconds until the next request is to be decided, if any."""
        if not self._waiting:
            return None
        self._refill(now_s)
        return self._estimate_wait_s(0)

    def grant_all(self) -> list[PermitDecision]:
        """Grant all waiting requests, since the limit has ended."""
        granted = [
            make_decision(waiting.request, PermitVerdict.granted, 0)
            for waiting in self._waiting.values()
        ]
        self._waiting.clear()
        return granted

    def _list_ranked(self) -> list[_Waiting]:
        return sorted(
            self._waiting.values(),
            key=lambda waiting: waiting.request.priority,
        )

    def _estimate_wait_s(self, position: int) -> float:
        missing = position - self._bucket.level
        return max(0, missing) / self.requests_per_s

    def _has_granted(self, key: PermitKey) -> bool:
        decided = self._decided.get(key)
        return (
            decided is not None and decided[0].verdict is PermitVerdict.granted
        )

    def _refill(self, now_s: float) -> None:
        burst = max(1, BURST_S * self.requests_per_s)
        self._bucket.refill(self.requests_per_s, burst, now_s)

    def _discard_expired(self, now_s: float) -> None:
        for key, waiting in tuple(self._waiting.items()):
            if now_s - waiting.repeated_s > WAITING_EXPIRY_S:
                self._waiting.pop(key)
        for key, (_, decided_s) in tuple(self._decided.items()):
            if now_s - decided_s > DECISION_MEMORY_S:
                self._decided.pop(key)


@define
class PermitTable:
    """The permits of all limited targets.

    A target that named no limit has no bucket; nothing is counted for it.
    """

    _buckets: dict[str, tuple[int, PermitBucket]] = field(factory=dict)

    def set_rate(
        self,
        target: str,
        started_ms: int,
        requests_per_s: float,
        now_s: float,
    ) -> None:
        """Set the rate of an incarnation; a new one has an empty bucket."""
        bucket = self.get(target, started_ms)
        if bucket is None:
            bucket = make_permit_bucket(requests_per_s, now_s)
            self._buckets[target] = (started_ms, bucket)
        bucket.set_rate(requests_per_s, now_s)

    def remove(self, target: str) -> list[PermitDecision]:
        """Remove a target whose limit has ended; grant what waits for it."""
        _, bucket = self._buckets.pop(target, (0, None))
        return bucket.grant_all() if bucket is not None else []

    def get(self, target: str, started_ms: int) -> PermitBucket | None:
        """Return the permits of an incarnation, none if it has no limit."""
        found = self._buckets.get(target)
        if found is None or found[0] != started_ms:
            return None
        return found[1]

    def has_room(self, target: str, started_ms: int, now_s: float) -> bool:
        """Return whether a request may be sent now, as far as is known."""
        bucket = self.get(target, started_ms)
        return bucket is None or not bucket.estimate_wait_s(now_s)

    def charge(self, target: str, key: PermitKey | None, now_s: float) -> None:
        """Count a request that was sent to a target.

        :param key: key of its run; none if it belongs to no run.
        """
        _, bucket = self._buckets.get(target, (0, None))
        if bucket is not None:
            bucket.charge(key, now_s)


def make_permit_bucket(requests_per_s: float, now_s: float) -> PermitBucket:
    """Return an empty bucket."""
    return PermitBucket(requests_per_s, make_empty_bucket(now_s))
