"""Limiter that admits calls by organisation and orders the queued ones."""

from collections.abc import Iterable

from attrs import define, field

from trefoilhinge.conf.generated.document import (
    Document,
    Organisation,
    Service,
)
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
from trefoilhinge.limits.buckets import TokenBucket, make_empty_bucket
from trefoilhinge.limits.queues import FairQueue
from trefoilhinge.limits.shares import ShareAllocator

MAXIMUM_QUEUED_CALLS = 4096
MAXIMUM_QUEUED_PER_ORGANISATION = 1024
# Accrual granted to a new bucket, in seconds of its rate.
INITIAL_CREDIT_S = 1.0
MINIMUM_RETRY_AFTER_S = 1.0


@define
class _OrganisationBuckets:
    """Token buckets of one organisation at this instance."""

    requests: TokenBucket
    tokens: TokenBucket


@define
class DistributedLimiter:
    """Limiter that divides fleet-wide rates and queues calls fairly."""

    _organisations: dict[str, Organisation] = field(factory=dict)
    _services: dict[str, Service] = field(factory=dict)
    _buckets: dict[str, _OrganisationBuckets] = field(factory=dict)
    _shares: ShareAllocator = field(factory=ShareAllocator)
    _queue: FairQueue = field(factory=FairQueue)

    def configure(self, document: Document) -> None:
        """Apply a document that is now in force."""
        self._organisations = {
            entry.name: entry for entry in document.organisations
        }
        self._services = {entry.name: entry for entry in document.services}
        self._queue.configure(
            {entry.name: entry.weight for entry in document.organisations},
        )

    def admit(
        self,
        profile: CallProfile,
        estimated_ttft_s: float,
        now: Instant,
    ) -> Refusal | None:
        """Charge the organisation and queue the call, or refuse it."""
        organisation = self._organisations[profile.organisation]
        refusal = self._check_queue(profile) or self._check_deadline(
            profile,
            estimated_ttft_s,
            now,
        )
        if refusal is not None:
            return refusal
        self._shares.note_demand(
            organisation.name,
            profile.total_tokens,
            now.monotonic_s,
        )
        buckets = self._refill_buckets(organisation, now.monotonic_s)
        refusal = self._check_rates(organisation, buckets, now.monotonic_s)
        if refusal is not None:
            return refusal
        buckets.requests.level -= 1
        buckets.tokens.level -= profile.total_tokens
        self._queue.add(profile)
        return None

    def requeue(self, profile: CallProfile, now: Instant) -> None:
        """Queue an admitted call again, ahead of all other calls."""
        self._queue.requeue(profile)

    def list_ready(self, now: Instant) -> Iterable[CallProfile]:
        """Yield the queued calls in the order to place them."""
        return self._queue.iterate()

    def remove(self, request_id: RequestId) -> None:
        """Remove a call from the queue, if it is queued."""
        self._queue.remove(request_id)

    def settle(
        self,
        profile: CallProfile,
        verdict: Verdict,
        tokens: int,
        now: Instant,
    ) -> None:
        """Correct a call's charge to the tokens that it used."""
        buckets = self._buckets.get(profile.organisation)
        if buckets is not None:
            buckets.tokens.level += profile.total_tokens - tokens

    def note_peer_demands(
        self,
        peer: InstanceName,
        demands: tuple[DemandWord, ...],
        now: Instant,
    ) -> None:
        """Record the demand of organisations at a peer."""
        self._shares.note_peer(peer, demands, now.monotonic_s)

    def note_peers(
        self,
        live: frozenset[InstanceName],
        expected: int,
        now: Instant,
    ) -> None:
        """Record which instances are live and how many are expected."""
        self._shares.note_peers(live, expected)

    def list_demands(self, limit: int, now: Instant) -> tuple[DemandWord, ...]:
        """Return up to ``limit`` demands of this instance to send to a peer."""
        return self._shares.list_demands(limit, now.monotonic_s)

    def count_queued(self) -> int:
        """Return the number of queued calls."""
        return self._queue.count()

    def _check_queue(self, profile: CallProfile) -> Refusal | None:
        own = self._queue.count_organisation(profile.organisation)
        if own >= MAXIMUM_QUEUED_PER_ORGANISATION:
            return _refuse_full(
                'queued_of_organisation',
                MAXIMUM_QUEUED_PER_ORGANISATION,
            )
        if self._queue.count() >= MAXIMUM_QUEUED_CALLS:
            return _refuse_full('queued', MAXIMUM_QUEUED_CALLS)
        return None

    def _check_deadline(
        self,
        profile: CallProfile,
        estimated_ttft_s: float,
        now: Instant,
    ) -> Refusal | None:
        """Refuse a call that is expected to miss its deadline."""
        service = self._services.get(profile.service)
        needed_s = estimated_ttft_s
        if profile.model and service is not None and service.targets:
            rate = service.prefill_tokens_per_s * len(service.targets)
            needed_s += self._queue.count_tokens() / rate
        left_s = profile.deadline_s - now.monotonic_s
        if needed_s <= left_s:
            return None
        return refuse_not_run(
            RefusalCode.DEADLINE_TOO_SHORT,
            f'The request needs about {needed_s:.0f} s and has {left_s:.0f} s; '
            'allow more time or ask for fewer tokens.',
            limit='estimated_s',
            limit_value=round(needed_s, 1),
            retry_after_s=max(MINIMUM_RETRY_AFTER_S, estimated_ttft_s),
            example=f'X-Time-Limit-S: {needed_s * 1.5 + 1:.0f}',
        )

    def _refill_buckets(
        self,
        organisation: Organisation,
        now_s: float,
    ) -> _OrganisationBuckets:
        share = self._shares.compute_share(organisation.name, now_s)
        buckets = self._buckets.get(organisation.name)
        if buckets is None:
            buckets = _OrganisationBuckets(
                make_empty_bucket(now_s - INITIAL_CREDIT_S),
                make_empty_bucket(now_s - INITIAL_CREDIT_S),
            )
            self._buckets[organisation.name] = buckets
        for bucket, fleet_rate in (
            (buckets.requests, organisation.requests_per_s),
            (buckets.tokens, organisation.tokens_per_s),
        ):
            rate = fleet_rate * share
            bucket.refill(rate, rate * organisation.burst_s, now_s)
        return buckets

    def _check_rates(
        self,
        organisation: Organisation,
        buckets: _OrganisationBuckets,
        now_s: float,
    ) -> Refusal | None:
        share = self._shares.compute_share(organisation.name, now_s)
        # Any positive level admits a call, so one call may exceed the burst.
        if buckets.requests.level <= 0:
            rate = organisation.requests_per_s
            wait_s = buckets.requests.compute_wait_s(rate * share)
            return _refuse_rate(RefusalCode.REQUEST_RATE, rate, wait_s)
        if buckets.tokens.level <= 0:
            rate = organisation.tokens_per_s
            wait_s = buckets.tokens.compute_wait_s(rate * share)
            return _refuse_rate(RefusalCode.TOKEN_RATE, rate, wait_s)
        return None


def _refuse_rate(code: RefusalCode, rate: float, wait_s: float) -> Refusal:
    by_requests = code is RefusalCode.REQUEST_RATE
    name = 'requests_per_s' if by_requests else 'tokens_per_s'
    retry_s = max(MINIMUM_RETRY_AFTER_S, wait_s)
    return refuse_not_run(
        code,
        f'The organisation has exceeded its {name}; send less or later.',
        limit=name,
        limit_value=rate,
        retry_after_s=retry_s,
        example=f'time.sleep({retry_s:.0f})',
    )


def _refuse_full(name: str, maximum: int) -> Refusal:
    return refuse_not_run(
        RefusalCode.QUEUE_FULL,
        'Too many requests are queued; send fewer at a time.',
        limit=name,
        limit_value=maximum,
        retry_after_s=MINIMUM_RETRY_AFTER_S,
        example='max_workers = 8',
    )


def make_distributed_limiter() -> DistributedLimiter:
    """Return a limiter without any organisations."""
    return DistributedLimiter()
