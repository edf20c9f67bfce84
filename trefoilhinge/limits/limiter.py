"""Admits calls by token buckets and queues them in order of arrival."""

from collections.abc import Iterable

from attrs import define

from trefoilhinge.conf.generated.document import Document, Organisation
from trefoilhinge.conf.generated.messages import DemandWord
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.identifiers import InstanceName, RequestId
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.core.verdicts import (
    Refusal,
    RefusalCode,
    Verdict,
    refuse_not_run,
)


@define
class _Bucket:
    level: float
    filled_s: float

    def fill(self, rate: float, burst: float, now_s: float) -> None:
        earned = (now_s - self.filled_s) * rate
        self.level = min(burst, self.level + max(0, earned))
        self.filled_s = now_s


@define
class BucketLimiter:
    """Holds one bucket of requests and one of tokens an organisation."""

    _organisations: dict[str, Organisation]
    _requests: dict[str, _Bucket]
    _tokens: dict[str, _Bucket]
    _queue: dict[RequestId, CallProfile]
    _share: float = 1

    def configure(self, document: Document) -> None:
        """Take a document that is now in force."""
        self._organisations = {one.name: one for one in document.organisations}

    def admit(
        self,
        profile: CallProfile,
        wait_s: float,
        now: Instant,
    ) -> Refusal | None:
        """Charge both buckets and queue the call, or refuse it."""
        organisation = self._organisations[profile.organisation]
        if now.monotonic_s + wait_s > profile.deadline_s:
            return refuse_not_run(
                RefusalCode.DEADLINE_TOO_SHORT,
                'The request cannot end within its time; allow more time.',
                limit='estimated_wait_s',
                limit_value=wait_s,
            )
        checks = (
            (self._requests, organisation.requests_per_s, 1),
            (self._tokens, organisation.tokens_per_s, profile.total_tokens),
        )
        for buckets, whole, cost in checks:
            rate = whole * self._share
            bucket = buckets.setdefault(
                profile.organisation,
                _Bucket(rate * organisation.burst_s, now.monotonic_s),
            )
            bucket.fill(rate, rate * organisation.burst_s, now.monotonic_s)
            # A level above zero admits: one call may exceed the burst.
            if bucket.level <= 0:
                return _refuse_rate(buckets is self._requests, whole, bucket)
        for buckets, _, cost in checks:
            buckets[profile.organisation].level -= cost
        self._queue[profile.request_id] = profile
        return None

    def requeue(self, profile: CallProfile, now: Instant) -> None:
        """Queue an admitted call again, ahead of new ones."""
        self._queue = {profile.request_id: profile, **self._queue}

    def list_ready(self, now: Instant) -> Iterable[CallProfile]:
        """Yield queued calls in order of arrival."""
        return tuple(self._queue.values())

    def remove(self, request_id: RequestId) -> None:
        """Take a call out of the queue."""
        self._queue.pop(request_id, None)

    def settle(
        self,
        profile: CallProfile,
        verdict: Verdict,
        tokens: int,
        now: Instant,
    ) -> None:
        """Give back what a call did not take."""
        bucket = self._tokens.get(profile.organisation)
        if bucket is not None:
            bucket.level += profile.total_tokens - tokens

    def note_peer_demands(
        self,
        peer: InstanceName,
        demands: tuple[DemandWord, ...],
        now: Instant,
    ) -> None:
        """Take no notice: every instance has an even share."""

    def note_peers(
        self,
        live: frozenset[InstanceName],
        expected: int,
        now: Instant,
    ) -> None:
        """Take an even share of each rate."""
        self._share = 1 / max(1, expected)

    def list_demands(self, limit: int, now: Instant) -> tuple[DemandWord, ...]:
        """Return no demands."""
        return ()

    def count_queued(self) -> int:
        """Return how many calls wait."""
        return len(self._queue)


def _refuse_rate(requests: bool, rate: float, bucket: _Bucket) -> Refusal:
    code = RefusalCode.REQUEST_RATE if requests else RefusalCode.TOKEN_RATE
    name = 'requests_per_s' if requests else 'tokens_per_s'
    return refuse_not_run(
        code,
        f'The organisation has used up its {name}; send less or later.',
        limit=name,
        limit_value=rate,
        retry_after_s=max(1, -bucket.level / rate),
    )


def make_bucket_limiter() -> BucketLimiter:
    """Return a limiter that knows no organisation yet."""
    return BucketLimiter({}, {}, {}, {})
