"""Pool of one service's targets, part of them reserved for short calls."""

import xxhash
from attrs import define, evolve, field

from trefoilhinge.conf.generated.document import Service
from trefoilhinge.core.identifiers import TargetName
from trefoilhinge.membership.interfaces import TargetView
from trefoilhinge.routing.states import PrefillRate, TargetState

# Largest shares of a pool's targets that are ejected and reserved.
MAXIMUM_EJECTED_SHARE = 0.34
MAXIMUM_RESERVED_SHARE = 0.25
# Size of the reserve relative to the short calls' share of the work, and the
# part of it that ``long_weight`` 1 takes away.
RESERVE_FACTOR = 10.0
LONG_WEIGHT_REDUCTION = 0.5
INITIAL_SHORT_SHARE = 0.08
# Relative change of the reserve's size below which it is left as it is.
RESERVE_CHANGE_RATIO = 0.1
# Factor by which each call reduces the weight of earlier calls.
WORKLOAD_DECAY = 0.995
# Lower bound on an observed prefill rate, relative to the declared rate.
MINIMUM_RATE_RATIO = 0.25
# Weight of the latest observation in the moving average of the rate.
RATE_SMOOTHING = 0.1


@define
class WorkloadMix:
    """Exponentially decayed prompt tokens of recent calls.

    It starts as if a million prompt tokens had been placed, of which short
    calls had ``INITIAL_SHORT_SHARE``.

    :ivar short_tokens: prompt tokens of short calls.
    :ivar all_tokens: prompt tokens of all calls.
    """

    short_tokens: float = INITIAL_SHORT_SHARE * 1_000_000
    all_tokens: float = 1_000_000

    def note(self, tokens: int, short: bool) -> None:
        """Record a call that was placed."""
        self.all_tokens = self.all_tokens * WORKLOAD_DECAY + tokens
        self.short_tokens *= WORKLOAD_DECAY
        if short:
            self.short_tokens += tokens

    @property
    def short_share(self) -> float:
        """Return the share of short calls in the prompt tokens."""
        return self.short_tokens / self.all_tokens


@define
class ServicePool:
    """Targets of one service.

    :ivar service: service as the document declares it.
    :ivar long_weight: weight of long prompts against short ones, from 0 to 1.
    :ivar instance: name of this instance.
    :ivar failure_domain: failure domain that this instance is in.
    :ivar states: states of all listed targets.
    :ivar regular: usable targets that take any call.
    :ivar reserved: usable targets that give precedence to short calls.
    :ivar workload_mix: share of short calls in the recent work.
    :ivar prefill_rate: prefill rate, shared with the states.
    :ivar instance_index: index of this instance among the instances that it
        hears from, sorted by name.
    """

    service: Service
    long_weight: float
    instance: str
    failure_domain: str
    states: dict[TargetName, TargetState] = field(factory=dict)
    regular: list[TargetState] = field(factory=list)
    reserved: list[TargetState] = field(factory=list)
    workload_mix: WorkloadMix = field(factory=WorkloadMix)
    prefill_rate: PrefillRate = field(factory=lambda: PrefillRate(0))
    instance_index: int = 0
    _ejected: set[TargetName] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Initialise the prefill rate to the one that the document declares."""
        if not self.prefill_rate.tokens_per_s:
            self.prefill_rate = PrefillRate(self.service.prefill_tokens_per_s)

    def update_targets(self, views: tuple[TargetView, ...]) -> None:
        """Replace the list of targets; a restarted target starts afresh."""
        previous = self.states
        self.states = {}
        for view in views:
            known = previous.get(view.name)
            if known is None or known.view.incarnation < view.incarnation:
                known = self._make_target_state(view)
            known.view = view
            self.states[view.name] = known
        self._ejected &= set(self.states)
        self.partition_targets()

    @property
    def preferred_target(self) -> TargetState | None:
        """Return the reserved target that this instance prefers.

        Load reports lag by more than a short call takes, so instances that
        select by the same reports would collide on one target. The instances
        therefore spread their preferences over the reserved targets.
        """
        if not self.reserved:
            return None
        return self.reserved[self.instance_index % len(self.reserved)]

    def partition_targets(self) -> None:
        """Partition the usable targets into reserved and regular ones."""
        usable = [
            target
            for target in self.states.values()
            if not target.view.leaving and target.view.name not in self._ejected
        ]
        usable.sort(key=lambda target: target.rank)
        for state in self.reserved:
            state.reserved = False
        self.reserved = []
        self.regular = usable
        self._resize_reserve(self.compute_reserve_size())

    def compute_reserve_size(self) -> int:
        """Return the number of targets to reserve for short calls.

        The reserve exceeds the capacity that short calls use, so that a short
        call finds an idle target. It shrinks as the document gives long
        prompts more weight.
        """
        if self.service.kind != 'model':
            return 0
        usable = len(self.regular) + len(self.reserved)
        weight = 1 - LONG_WEIGHT_REDUCTION * self.long_weight
        factor = RESERVE_FACTOR * weight
        wanted = int(usable * self.workload_mix.short_share * factor)
        return min(wanted, int(usable * MAXIMUM_RESERVED_SHARE))

    def note_call(self, tokens: int, short: bool) -> None:
        """Record a placed call and adapt the reserve to the workload."""
        self.workload_mix.note(tokens, short)
        wanted = self.compute_reserve_size()
        change = abs(wanted - len(self.reserved))
        # Each resize copies the lists of targets, so a large reserve is only
        # resized by a minimum step.
        if change > RESERVE_CHANGE_RATIO * wanted:
            self._resize_reserve(wanted)

    def note_prefill_rate(self, observed: float) -> None:
        """Update the prefill rate by one observation, in tokens per second."""
        declared = self.service.prefill_tokens_per_s
        bounded = max(MINIMUM_RATE_RATIO * declared, min(declared, observed))
        self.prefill_rate.tokens_per_s += RATE_SMOOTHING * (
            bounded - self.prefill_rate.tokens_per_s
        )

    def note_failure(self, state: TargetState, now_s: float) -> None:
        """Record a failure; eject the target unless too many are ejected."""
        if not state.note_failure() or state.view.name in self._ejected:
            return
        if len(self._ejected) + 1 > MAXIMUM_EJECTED_SHARE * len(self.states):
            return
        state.eject(now_s)
        self._ejected.add(state.view.name)
        self.partition_targets()

    def reinstate_ejected(self, now_s: float) -> None:
        """Reinstate the targets whose ejection has ended."""
        if not self._ejected:
            return
        due = [
            name
            for name in self._ejected
            if self.states[name].ejected_until_s <= now_s
        ]
        if due:
            self._ejected.difference_update(due)
            self.partition_targets()

    def count_free_tokens(self, state: TargetState) -> int:
        """Return the free KV memory of an engine, 0 if it is unavailable."""
        unavailable = state.view.leaving or state.view.name in self._ejected
        if unavailable or state.running >= self.service.maximum_running:
            return 0
        return state.count_free_tokens(self.service.memory_tokens)

    def _resize_reserve(self, count: int) -> None:
        """Reserve the first ``count`` targets by rank for short calls."""
        usable = [*self.reserved, *self.regular]
        for state in usable[count : len(self.reserved)]:
            state.reserved = False
        for state in usable[len(self.reserved) : count]:
            state.reserved = True
        self.reserved = usable[:count]
        self.regular = usable[count:]

    def _make_target_state(self, view: TargetView) -> TargetState:
        return TargetState(
            view,
            local=view.failure_domain == self.failure_domain,
            rank=xxhash.xxh64_intdigest(view.name.encode()),
            preference=xxhash.xxh64_intdigest(
                f'{self.instance}/{view.name}'.encode(),
            ),
            prefill_rate=self.prefill_rate,
        )


def reconfigure_pool(
    pool: ServicePool,
    service: Service,
    long_weight: float,
) -> ServicePool:
    """Return a pool for a new document that keeps its learned state."""
    reconfigured = evolve(pool, service=service, long_weight=long_weight)
    reconfigured.partition_targets()
    return reconfigured
