"""Router that minimises the estimated time to first token.

Several instances decide on the same delayed load reports. To avoid herding,
each selects at random among the targets near the best estimate. Part of the
targets is kept free of long prompts, so that a short call finds a target with
short engine steps.
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
from trefoilhinge.routing.estimates import BLOCK_TOKENS
from trefoilhinge.routing.group_planning import (
    GroupPlanner,
    SingleDomainPlanner,
)
from trefoilhinge.routing.interfaces import (
    Deferred,
    Placement,
    TargetPlacement,
    Unplaceable,
)
from trefoilhinge.routing.pools import ServicePool, reconfigure_pool
from trefoilhinge.routing.prefixes import PrefixIndex
from trefoilhinge.routing.selection import TargetSelector
from trefoilhinge.routing.states import OwnCharge, PeerCharge, TargetState

DEFERRAL_S = 0.5
# Added to the priority of an urgent call, which ranks it above all priorities
# that callers may set.
URGENT_PRIORITY_BOOST = 100
# Share of the work above which short calls lose their precedence.
MAXIMUM_URGENT_SHARE = 0.5
# Fewest tokens prefilled before a first token for the observation to update
# the prefill rate.
MINIMUM_RATE_SAMPLE_TOKENS = 8192
_FAILURES = frozenset(
    (
        AttemptOutcome.NOT_SENT,
        AttemptOutcome.ERRORED,
        AttemptOutcome.BROKEN,
        AttemptOutcome.MISMATCHED,
    ),
)


@define
class _ActiveAttempt:
    """An attempt in progress.

    :ivar service: name of the service.
    :ivar targets: targets that it is charged to.
    :ivar charged_s: monotonic seconds at which it was charged.
    :ivar queued_prefill_tokens: tokens to prefill before its first token, its
        own included, as estimated when it was charged.
    :ivar urgent: whether it takes precedence over others at the engine.
    """

    service: str
    targets: tuple[TargetName, ...]
    charged_s: float
    queued_prefill_tokens: float
    urgent: bool


@define
class BalancedRouter:
    """Router by queue wait, cached prefixes and prompt length."""

    _instance: str
    _failure_domain: str
    _selector: TargetSelector
    _planner: GroupPlanner
    _balance: Balance = field(factory=lambda: Balance(long_weight=0.5))
    _pools: dict[str, ServicePool] = field(factory=dict)
    _pools_by_target: dict[TargetName, ServicePool] = field(factory=dict)
    _active_attempts: dict[AttemptId, _ActiveAttempt] = field(factory=dict)
    _prefixes: PrefixIndex = field(factory=PrefixIndex)
    _listed_targets: dict[str, tuple[TargetView, ...]] = field(factory=dict)
    _peer_charged_targets: dict[InstanceName, set[TargetName]] = field(
        factory=dict
    )

    def configure(self, document: Document) -> None:
        """Apply a document that is now in force."""
        self._balance = document.balance
        pools = {}
        for service in document.services:
            known = self._pools.get(service.name)
            pools[service.name] = (
                self._make_pool(service)
                if known is None
                else reconfigure_pool(known, service, self._balance.long_weight)
            )
        self._pools = pools
        self._index_targets()

    def update_targets(
        self,
        service: str,
        targets: tuple[TargetView, ...],
        now: Instant,
    ) -> None:
        """Replace the list of targets of a service."""
        # Targets may be listed before the document that names their service.
        self._listed_targets[service] = targets
        pool = self._pools.get(service)
        if pool is None:
            return
        for view in targets:
            known = pool.states.get(view.name)
            if known is not None and known.view.incarnation < view.incarnation:
                self._prefixes.invalidate_target(view.name, now.monotonic_s)
        pool.update_targets(targets)
        self._index_targets()

    def place(
        self,
        profile: CallProfile,
        avoid: frozenset[TargetName],
        now: Instant,
    ) -> Placement:
        """Place a call on a target or on a group of engines."""
        pool = self._pools.get(profile.service)
        if pool is None:
            return Unplaceable(
                refuse_not_run(
                    RefusalCode.NO_TARGET,
                    f'There is no service named {profile.service!r}.',
                ),
            )
        pool.reinstate_ejected(now.monotonic_s)
        if needs_group(profile, pool.service):
            return self._plan_group(profile, pool, now)
        urgent = self._is_urgent(profile, pool)
        best = self._selector.select(
            pool,
            self._prefixes,
            profile,
            urgent,
            avoid,
            now.monotonic_s,
        )
        if best is None:
            return Deferred(now.monotonic_s + DEFERRAL_S)
        priority = profile.priority + URGENT_PRIORITY_BOOST if urgent else None
        return TargetPlacement(best.state.view, priority)

    def charge(
        self,
        attempt: AttemptId,
        profile: CallProfile,
        targets: tuple[TargetName, ...],
        now: Instant,
    ) -> None:
        """Charge an attempt to the targets it was placed on."""
        pool = self._pools.get(profile.service)
        if pool is None:
            return
        short = profile.prompt_tokens <= self._balance.short_tokens
        urgent = self._is_urgent(profile, pool)
        queued_prefill_tokens: float = 0
        for name in targets:
            state = pool.states.get(name)
            if state is not None:
                tokens = self._charge_target(
                    state, attempt, profile, len(targets), urgent, now
                )
                queued_prefill_tokens = max(queued_prefill_tokens, tokens)
        if profile.model:
            pool.note_call(profile.prompt_tokens, short)
        self._active_attempts[attempt] = _ActiveAttempt(
            profile.service,
            targets,
            now.monotonic_s,
            queued_prefill_tokens,
            urgent,
        )

    def note_first_token(self, attempt: AttemptId, now: Instant) -> None:
        """Remove the prefill part of a charge and update the prefill rate."""
        active = self._active_attempts.get(attempt)
        pool = None if active is None else self._pools.get(active.service)
        if active is None or pool is None:
            return
        for name in active.targets:
            state = pool.states.get(name)
            if state is not None:
                state.finish_prefill(attempt, now.monotonic_s)
        waited_s = now.monotonic_s - active.charged_s
        # Groups prefill in parts and urgent calls overtake the queue, so
        # neither shows the prefill rate.
        representative = len(active.targets) == 1 and not active.urgent
        if (
            representative
            and active.queued_prefill_tokens >= MINIMUM_RATE_SAMPLE_TOKENS
            and waited_s > 0
        ):
            pool.note_prefill_rate(active.queued_prefill_tokens / waited_s)

    def release(
        self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        now: Instant,
    ) -> None:
        """Remove an attempt's charge and update the target's health."""
        active = self._active_attempts.pop(attempt, None)
        pool = None if active is None else self._pools.get(active.service)
        if active is None or pool is None:
            return
        for name in active.targets:
            state = pool.states.get(name)
            if state is None:
                continue
            state.running = max(0, state.running - 1)
            state.finish_prefill(attempt, now.monotonic_s)
            if outcome is AttemptOutcome.FINISHED:
                state.note_success()
            elif outcome in _FAILURES and len(active.targets) == 1:
                pool.note_failure(state, now.monotonic_s)

    def note_load(
        self,
        target: TargetName,
        report: LoadReport | None,
        now: Instant,
    ) -> None:
        """Record a load report; ``None`` changes nothing."""
        state = self._find_state(target)
        if state is not None and report is not None:
            state.note_report(report, now.monotonic_s)

    def note_cache_events(
        self,
        target: TargetName,
        cache_events: tuple[CacheEvent, ...],
        now: Instant,
    ) -> None:
        """Record cache events, which arrive late and may have gaps."""
        self._prefixes.note_events(target, cache_events, now.monotonic_s)

    def note_peer_charges(
        self,
        peer: InstanceName,
        charges: tuple[ChargeWord, ...],
        now: Instant,
    ) -> None:
        """Record the outstanding charges of a peer.

        Targets that the peer no longer names have no charges of it left.
        """
        named = {TargetName(charge.target) for charge in charges}
        for target in self._peer_charged_targets.get(peer, set()) - named:
            state = self._find_state(target)
            if state is not None:
                state.peers.pop(peer, None)
                state.update_queue()
        self._peer_charged_targets[peer] = named
        self._update_instance_index()
        for word in charges:
            state = self._find_state(TargetName(word.target))
            if state is not None:
                reported = PeerCharge(now.monotonic_s, word.tokens, word.calls)
                state.note_peer(peer, reported)

    def list_charges(self, limit: int) -> tuple[ChargeWord, ...]:
        """Return up to ``limit`` charges to send to a peer, largest first."""
        totals: dict[TargetName, list[int]] = {}
        for attempt, active in self._active_attempts.items():
            for name in active.targets:
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

    def estimate_ttft_s(self, profile: CallProfile, now: Instant) -> float:
        """Estimate the time to first token of a call placed now, in seconds."""
        pool = self._pools.get(profile.service)
        if pool is None:
            return 0
        if needs_group(profile, pool.service):
            return profile.prompt_tokens / pool.prefill_rate.tokens_per_s
        best = self._selector.select(
            pool,
            self._prefixes,
            profile,
            self._is_urgent(profile, pool),
            frozenset(),
            now.monotonic_s,
        )
        return DEFERRAL_S if best is None else best.estimated_ttft_s

    def _charge_target(
        self,
        state: TargetState,
        attempt: AttemptId,
        profile: CallProfile,
        parts: int,
        urgent: bool,
        now: Instant,
    ) -> float:
        now_s = now.monotonic_s
        blocks = self._prefixes.count_matched_blocks(
            state.view.name,
            profile.prefix_digests,
            len(profile.prefix_digests),
            now_s,
        )
        tokens = max(1, profile.prompt_tokens - blocks * BLOCK_TOKENS)
        tokens //= parts
        queued_prefill_tokens = (
            tokens
            + state.estimate_queue_wait_s(now_s)
            * state.prefill_rate.tokens_per_s
        )
        state.add_charge(attempt, OwnCharge(now_s, tokens, urgent))
        self._prefixes.note_sent(
            state.view.name,
            profile.prefix_digests,
            now_s,
        )
        return queued_prefill_tokens

    def _is_urgent(self, profile: CallProfile, pool: ServicePool) -> bool:
        short = profile.prompt_tokens <= self._balance.short_tokens
        bounded = pool.workload_mix.short_share <= MAXIMUM_URGENT_SHARE
        return profile.model and short and bounded

    def _plan_group(
        self,
        profile: CallProfile,
        pool: ServicePool,
        now: Instant,
    ) -> Placement:
        # Engines that are leaving or full are included with no free memory,
        # so that the call is deferred rather than refused while they exist.
        candidates = [
            Candidate(state.view, pool.count_free_tokens(state))
            for state in pool.states.values()
        ]
        return self._planner.plan(profile, pool.service, candidates, now)

    def _make_pool(self, service: Service) -> ServicePool:
        pool = ServicePool(
            service,
            self._balance.long_weight,
            self._instance,
            self._failure_domain,
        )
        pool.update_targets(self._listed_targets.get(service.name, ()))
        return pool

    def _index_targets(self) -> None:
        self._pools_by_target = {
            name: pool for pool in self._pools.values() for name in pool.states
        }

    def _update_instance_index(self) -> None:
        names = sorted((self._instance, *self._peer_charged_targets))
        index = names.index(self._instance)
        for pool in self._pools.values():
            pool.instance_index = index

    def _find_state(self, target: TargetName) -> TargetState | None:
        pool = self._pools_by_target.get(target)
        return None if pool is None else pool.states.get(target)


def make_balanced_router(
    instance: str,
    failure_domain: str,
    seed: int,
    planner: GroupPlanner | None = None,
) -> BalancedRouter:
    """Return a router without any targets.

    :param instance: name of the instance; also part of the random seed, so
        that instances select differently.
    :param failure_domain: failure domain that the instance is in.
    :param seed: seed of the random selection.
    :param planner: planner of engine groups; by default a group stays within
        one failure domain.
    """
    return BalancedRouter(
        instance,
        failure_domain,
        TargetSelector(xxhash.xxh64_intdigest(instance.encode(), seed)),
        planner or SingleDomainPlanner(),
    )
