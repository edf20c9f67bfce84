"""Places each call where its first token is expected soonest.

Several instances decide on the same lagged reports. Each therefore picks at
random among the targets that are nearly the best, and keeps long prompts off
a part of the targets, so that a short call finds one whose step is short.
"""

import heapq

import xxhash
from attrs import define, field

from trefoilhinge.conf.generated.document import Balance, Document, Service
from trefoilhinge.conf.generated.messages import ChargeWord
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.events import AttemptOutcome
from trefoilhinge.core.identifiers import AttemptId, InstanceName, TargetName
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.core.reports import CacheEvent, LoadReport
from trefoilhinge.core.verdicts import RefusalCode, refuse_not_run
from trefoilhinge.groups.planner import Candidate, needs_group
from trefoilhinge.membership.interfaces import TargetView
from trefoilhinge.routing.choices import Chooser
from trefoilhinge.routing.estimates import BLOCK_TOKENS
from trefoilhinge.routing.interfaces import (
    Deferred,
    Impossible,
    PlacedOn,
    Placement,
)
from trefoilhinge.routing.planning import DomainPlanner, GroupPlanner
from trefoilhinge.routing.pools import ServicePool, adopt_service
from trefoilhinge.routing.prefixes import PrefixGuesses
from trefoilhinge.routing.states import OwnCharge, PeerCharge, TargetState

DEFERRAL_S = 0.5
URGENT_PRIORITY = 100
# Above this share of the work short calls no longer go ahead of others.
LARGEST_URGENT_SHARE = 0.5
LEARNING_TOKENS = 8192
_FAILURES = frozenset(
    (
        AttemptOutcome.NOT_SENT,
        AttemptOutcome.ERRORED,
        AttemptOutcome.BROKEN,
        AttemptOutcome.MISMATCHED,
    ),
)


@define
class _Sent:
    """An attempt in progress.

    :ivar ahead_tokens: tokens that were to be prefilled before its first
        token, its own included, on the estimate at that time.
    """

    service: str
    targets: tuple[TargetName, ...]
    charged_s: float
    ahead_tokens: float
    urgent: bool


@define
class BalancedRouter:
    """Weighs queues, prefixes and the needs of short and long calls."""

    _instance: str
    _failure_domain: str
    _chooser: Chooser
    _planner: GroupPlanner
    _balance: Balance = field(factory=lambda: Balance(long_weight=0.5))
    _pools: dict[str, ServicePool] = field(factory=dict)
    _homes: dict[TargetName, ServicePool] = field(factory=dict)
    _sent: dict[AttemptId, _Sent] = field(factory=dict)
    _prefixes: PrefixGuesses = field(factory=PrefixGuesses)
    _views: dict[str, tuple[TargetView, ...]] = field(factory=dict)
    _told: dict[InstanceName, set[TargetName]] = field(factory=dict)

    def configure(self, document: Document) -> None:
        """Take a document that is now in force."""
        self._balance = document.balance
        pools = {}
        for service in document.services:
            known = self._pools.get(service.name)
            pools[service.name] = (
                self._make_pool(service)
                if known is None
                else adopt_service(known, service, self._balance.long_weight)
            )
        self._pools = pools
        self._index_homes()

    def update_targets(
        self,
        service: str,
        targets: tuple[TargetView, ...],
        now: Instant,
    ) -> None:
        """Take the whole list of a service's targets."""
        # Targets may be listed before the document that names their service.
        self._views[service] = targets
        pool = self._pools.get(service)
        if pool is None:
            return
        for view in targets:
            known = pool.states.get(view.name)
            if known is not None and known.view.incarnation < view.incarnation:
                self._prefixes.forget_target(view.name, now.monotonic_s)
        pool.replace(targets)
        self._index_homes()

    def place(
        self,
        profile: CallProfile,
        avoid: frozenset[TargetName],
        now: Instant,
    ) -> Placement:
        """Choose the target of a call, or a group of engines."""
        pool = self._pools.get(profile.service)
        if pool is None:
            return Impossible(
                refuse_not_run(
                    RefusalCode.NO_TARGET,
                    f'There is no service named {profile.service!r}.',
                ),
            )
        pool.return_ejected(now.monotonic_s)
        if needs_group(profile, pool.service):
            return self._plan_group(profile, pool, now)
        urgent = self._is_urgent(profile, pool)
        best = self._chooser.choose(
            pool,
            self._prefixes,
            profile,
            urgent,
            avoid,
            now.monotonic_s,
        )
        if best is None:
            return Deferred(now.monotonic_s + DEFERRAL_S)
        priority = profile.priority + URGENT_PRIORITY if urgent else None
        return PlacedOn(best.state.view, priority)

    def charge(
        self,
        attempt: AttemptId,
        profile: CallProfile,
        targets: tuple[TargetName, ...],
        now: Instant,
    ) -> None:
        """Charge an attempt to the targets that it was placed on."""
        pool = self._pools.get(profile.service)
        if pool is None:
            return
        short = profile.prompt_tokens <= self._balance.short_tokens
        urgent = self._is_urgent(profile, pool)
        ahead_tokens: float = 0
        for name in targets:
            state = pool.states.get(name)
            if state is not None:
                tokens = self._charge_one(
                    state, attempt, profile, len(targets), urgent, now
                )
                ahead_tokens = max(ahead_tokens, tokens)
        if profile.model:
            pool.note_call(profile.prompt_tokens, short)
        self._sent[attempt] = _Sent(
            profile.service,
            targets,
            now.monotonic_s,
            ahead_tokens,
            urgent,
        )

    def note_first_token(self, attempt: AttemptId, now: Instant) -> None:
        """Drop the prefill part of an attempt's charge and learn from it."""
        sent = self._sent.get(attempt)
        pool = None if sent is None else self._pools.get(sent.service)
        if sent is None or pool is None:
            return
        for name in sent.targets:
            state = pool.states.get(name)
            if state is not None:
                state.finish_prefill(attempt, now.monotonic_s)
        waited_s = now.monotonic_s - sent.charged_s
        alone = len(sent.targets) == 1 and not sent.urgent
        if alone and sent.ahead_tokens >= LEARNING_TOKENS and waited_s > 0:
            pool.note_rate(sent.ahead_tokens / waited_s)

    def release(
        self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        now: Instant,
    ) -> None:
        """Drop an attempt's charge and learn from how it ended."""
        sent = self._sent.pop(attempt, None)
        pool = None if sent is None else self._pools.get(sent.service)
        if sent is None or pool is None:
            return
        for name in sent.targets:
            state = pool.states.get(name)
            if state is None:
                continue
            state.running = max(0, state.running - 1)
            state.finish_prefill(attempt, now.monotonic_s)
            if outcome is AttemptOutcome.FINISHED:
                state.note_success()
            elif outcome in _FAILURES and len(sent.targets) == 1:
                pool.note_failure(state, now.monotonic_s)

    def note_load(
        self,
        target: TargetName,
        report: LoadReport | None,
        now: Instant,
    ) -> None:
        """Take a load report; one that could not be had changes nothing."""
        state = self._find_state(target)
        if state is not None and report is not None:
            state.note_report(report, now.monotonic_s)

    def note_cache_events(
        self,
        target: TargetName,
        cache_events: tuple[CacheEvent, ...],
        now: Instant,
    ) -> None:
        """Take cache events, which are late and may have gaps."""
        self._prefixes.note_events(target, cache_events, now.monotonic_s)

    def note_peer_charges(
        self,
        peer: InstanceName,
        charges: tuple[ChargeWord, ...],
        now: Instant,
    ) -> None:
        """Take what a peer has outstanding; what it leaves out has ended."""
        named = {TargetName(one.target) for one in charges}
        for target in self._told.get(peer, set()) - named:
            state = self._find_state(target)
            if state is not None:
                state.peers.pop(peer, None)
                state.rebuild()
        self._told[peer] = named
        self._find_place()
        for word in charges:
            state = self._find_state(TargetName(word.target))
            if state is not None:
                said = PeerCharge(now.monotonic_s, word.tokens, word.calls)
                state.note_peer(peer, said)

    def list_charges(self, limit: int) -> tuple[ChargeWord, ...]:
        """Return the largest of this instance's charges for a peer."""
        totals: dict[TargetName, list[int]] = {}
        for attempt, sent in self._sent.items():
            for name in sent.targets:
                total = totals.setdefault(name, [0, 0])
                total[1] += 1
                state = self._find_state(name)
                charge = state and state.charges.get(attempt)
                if charge:
                    total[0] += charge.tokens
        largest = heapq.nlargest(limit, totals.items(), lambda pair: pair[1])
        return tuple(
            ChargeWord(target=name, tokens=tokens, calls=calls)
            for name, (tokens, calls) in largest
        )

    def estimate_wait_s(self, profile: CallProfile, now: Instant) -> float:
        """Estimate the seconds to a call's first token if placed now."""
        pool = self._pools.get(profile.service)
        if pool is None:
            return 0
        if needs_group(profile, pool.service):
            return profile.prompt_tokens / pool.speed.rate
        best = self._chooser.choose(
            pool,
            self._prefixes,
            profile,
            self._is_urgent(profile, pool),
            frozenset(),
            now.monotonic_s,
        )
        return DEFERRAL_S if best is None else best.seconds

    def _charge_one(
        self,
        state: TargetState,
        attempt: AttemptId,
        profile: CallProfile,
        parts: int,
        urgent: bool,
        now: Instant,
    ) -> float:
        now_s = now.monotonic_s
        blocks = self._prefixes.count_blocks(
            state.view.name,
            profile.prefix_digests,
            len(profile.prefix_digests),
            now_s,
        )
        tokens = max(1, profile.prompt_tokens - blocks * BLOCK_TOKENS)
        tokens //= parts
        ahead_tokens = tokens + state.find_wait_s(now_s) * state.speed.rate
        state.add(attempt, OwnCharge(now_s, tokens, urgent))
        self._prefixes.note_sent(
            state.view.name,
            profile.prefix_digests,
            now_s,
        )
        return ahead_tokens

    def _is_urgent(self, profile: CallProfile, pool: ServicePool) -> bool:
        short = profile.prompt_tokens <= self._balance.short_tokens
        bounded = pool.mix.short_share <= LARGEST_URGENT_SHARE
        return profile.model and short and bounded

    def _plan_group(
        self,
        profile: CallProfile,
        pool: ServicePool,
        now: Instant,
    ) -> Placement:
        # One that is leaving or full has nothing free, but it counts: the
        # call is held back rather than refused while its memory is there.
        candidates = [
            Candidate(one.view, pool.find_free(one))
            for one in pool.states.values()
        ]
        return self._planner.plan(profile, pool.service, candidates, now)

    def _make_pool(self, service: Service) -> ServicePool:
        pool = ServicePool(
            service,
            self._balance.long_weight,
            self._instance,
            self._failure_domain,
        )
        pool.replace(self._views.get(service.name, ()))
        return pool

    def _index_homes(self) -> None:
        self._homes = {
            name: pool for pool in self._pools.values() for name in pool.states
        }

    def _find_place(self) -> None:
        names = sorted((self._instance, *self._told))
        place = names.index(self._instance)
        for pool in self._pools.values():
            pool.place = place

    def _find_state(self, target: TargetName) -> TargetState | None:
        pool = self._homes.get(target)
        return None if pool is None else pool.states.get(target)


def make_balanced_router(
    instance: str,
    failure_domain: str,
    seed: int,
    planner: GroupPlanner | None = None,
) -> BalancedRouter:
    """Return a router that knows no target yet.

    :param instance: name of the instance, which spreads its preferences.
    :param failure_domain: failure domain that the instance is in.
    :param seed: seed of its random choices.
    :param planner: plans groups of engines; none keeps to one failure domain.
    """
    return BalancedRouter(
        instance,
        failure_domain,
        Chooser(xxhash.xxh64_intdigest(instance.encode(), seed)),
        planner or DomainPlanner(),
    )
