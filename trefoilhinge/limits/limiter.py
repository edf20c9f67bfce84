"""Admits calls by organisation and orders those that wait."""

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
INITIAL_CREDIT_S = 1.0
MINIMUM_RETRY_AFTER_S = 1.0


@define
class _OrganisationBuckets:
    """Buckets of one organisation at this instance."""

    requests: TokenBucket
    tokens: TokenBucket


@define
class DistributedLimiter:
    """Keeps fleet-wide rates by shares and queues calls fairly."""

    _organisations: dict[str, Organisation] = field(factory=dict)
    _services: dict[str, Service] = field(factory=dict)
    _buckets: dict[str, _OrganisationBuckets] = field(factory=dict)
    _shares: ShareAllocator = field(factory=ShareAllocator)
    _queue: FairQueue = field(factory=FairQueue)

    def configure(self, document: Document) -> None:
        """Take a document that is now in force."""
        self._organisations = {one.name: one for one in document.organisations}
        self._services = {one.name: one for one in document.services}
        self._queue.configure(
            {one.name: one.weight for one in document.organisations},
        )

    def admit(
        self,
        profile: CallProfile,
        wait_s: float,
        now: Instant,
    ) -> Refusal | None:
        """Charge the organisation and queue the call, or refuse it."""
        organisation = self._organisations[profile.organisation]
        refusal = self._check_queue(profile) or self._check_deadline(
            profile,
            wait_s,
            now,
        )
        if refusal is not None:
            return refusal
        self._shares.note_demand(
            organisation.name,
            profile.total_tokens,
            now.monotonic_s,
        )
        account = self._refill_buckets(organisation, now.monotonic_s)
        refusal = self._check_rates(organisation, account, now.monotonic_s)
        if refusal is not None:
            return refusal
        account.requests.level -= 1
        account.tokens.level -= profile.total_tokens
        self._queue.add(profile)
        return None

    def requeue(self, profile: CallProfile, now: Instant) -> None:
        """Queue an admitted call again, ahead of new ones."""
        self._queue.requeue(profile)

    def list_ready(self, now: Instant) -> Iterable[CallProfile]:
        """Yield queued calls, the one to place first in front."""
        return self._queue.iterate()

    def remove(self, request_id: RequestId) -> None:
        """Take a call out of the queue; no error if it is not there."""
        self._queue.remove(request_id)

    def settle(
        self,
        profile: CallProfile,
        verdict: Verdict,
        tokens: int,
        now: Instant,
    ) -> None:
        """Correct a call's charge by the tokens it really took."""
        account = self._buckets.get(profile.organisation)
        if account is not None:
            account.tokens.level += profile.total_tokens - tokens

    def note_peer_demands(
        self,
        peer: InstanceName,
        demands: tuple[DemandWord, ...],
        now: Instant,
    ) -> None:
        """Take a peer's word of what organisations ask for there."""
        self._shares.note_peer(peer, demands, now.monotonic_s)

    def note_peers(
        self,
        live: frozenset[InstanceName],
        expected: int,
        now: Instant,
    ) -> None:
        """Take which peers are heard from, and how many there should be."""
        self._shares.note_peers(live, expected)

    def list_demands(self, limit: int, now: Instant) -> tuple[DemandWord, ...]:
        """Return at most ``limit`` demands of this instance for a peer."""
        return self._shares.list_demands(limit, now.monotonic_s)

    def count_queued(self) -> int:
        """Return how many calls wait."""
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
        wait_s: float,
        now: Instant,
    ) -> Refusal | None:
        """Refuse at once what would be admitted only to miss its deadline."""
        service = self._services.get(profile.service)
        needed_s = wait_s
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
            retry_after_s=max(MINIMUM_RETRY_AFTER_S, wait_s),
            example=f'X-Time-Limit-S: {needed_s * 1.5 + 1:.0f}',
        )

    def _refill_buckets(
        self,
        organisation: Organisation,
        now_s: float,
    ) -> _OrganisationBuckets:
        share = self._shares.compute_share(organisation.name, now_s)
        account = self._buckets.get(organisation.name)
        if account is None:
            account = _OrganisationBuckets(
                make_empty_bucket(now_s - INITIAL_CREDIT_S),
                make_empty_bucket(now_s - INITIAL_CREDIT_S),
            )
            self._buckets[organisation.name] = account
        for bucket, whole in (
            (account.requests, organisation.requests_per_s),
            (account.tokens, organisation.tokens_per_s),
        ):
            rate = whole * share
            bucket.refill(rate, rate * organisation.burst_s, now_s)
        return account

    def _check_rates(
        self,
        organisation: Organisation,
        account: _OrganisationBuckets,
        now_s: float,
    ) -> Refusal | None:
        share = self._shares.compute_share(organisation.name, now_s)
        # A level above zero admits: one call may exceed the burst.
        if account.requests.level <= 0:
            rate = organisation.requests_per_s
            wait_s = account.requests.compute_wait_s(rate * share)
            return _refuse_rate(RefusalCode.REQUEST_RATE, rate, wait_s)
        if account.tokens.level <= 0:
            rate = organisation.tokens_per_s
            wait_s = account.tokens.compute_wait_s(rate * share)
            return _refuse_rate(RefusalCode.TOKEN_RATE, rate, wait_s)
        return None


def _refuse_rate(code: RefusalCode, rate: float, wait_s: float) -> Refusal:
    by_requests = code is RefusalCode.REQUEST_RATE
    name = 'requests_per_s' if by_requests else 'tokens_per_s'
    retry_s = max(MINIMUM_RETRY_AFTER_S, wait_s)
    return refuse_not_run(
        code,
        f'The organisation has used up its {name}; send less or later.',
        limit=name,
        limit_value=rate,
        retry_after_s=retry_s,
        example=f'time.sleep({retry_s:.0f})',
    )


def _refuse_full(name: str, most: int) -> Refusal:
    return refuse_not_run(
        RefusalCode.QUEUE_FULL,
        'Too many requests wait here; send fewer at a time.',
        limit=name,
        limit_value=most,
        retry_after_s=MINIMUM_RETRY_AFTER_S,
        example='max_workers = 8',
    )


def make_distributed_limiter() -> DistributedLimiter:
    """Return a limiter that knows no organisation yet."""
    return DistributedLimiter()
