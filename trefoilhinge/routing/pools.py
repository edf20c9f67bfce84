"""The usable targets of one service, part of them kept for short calls."""

import xxhash
from attrs import define, evolve, field

from trefoilhinge.conf.generated.document import Service
from trefoilhinge.core.identifiers import TargetName
from trefoilhinge.membership.interfaces import TargetView
from trefoilhinge.routing.states import PrefillRate, TargetState

MAXIMUM_EJECTED_SHARE = 0.34
MAXIMUM_RESERVED_SHARE = 0.25
RESERVE_FACTOR = 10.0
LONG_WEIGHT_REDUCTION = 0.5
INITIAL_SHORT_SHARE = 0.08
RESERVE_CHANGE_RATIO = 0.1
WORKLOAD_DECAY = 0.995
MINIMUM_RATE_RATIO = 0.25
RATE_SMOOTHING = 0.1


@define
class WorkloadMix:
    """Shares of short and other work among recent calls, by tokens."""

    short_tokens: float = INITIAL_SHORT_SHARE * 1_000_000
    all_tokens: float = 1_000_000

    def note(self, tokens: int, short: bool) -> None:
        """Take a call that was placed."""
        self.all_tokens = self.all_tokens * WORKLOAD_DECAY + tokens
        self.short_tokens *= WORKLOAD_DECAY
        if short:
            self.short_tokens += tokens

    @property
    def short_share(self) -> float:
        """Return the share of short calls in the work."""
        return self.short_tokens / self.all_tokens


@define
class ServicePool:
    """Targets of one service.

    :ivar regular: usable targets that take any call.
    :ivar reserved: usable targets that take short calls first.
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
        """Begin with the rate that the document declares."""
        if not self.prefill_rate.tokens_per_s:
            self.prefill_rate = PrefillRate(self.service.prefill_tokens_per_s)

    def update_targets(self, views: tuple[TargetView, ...]) -> None:
        """Take the whole list of targets; one that restarted is new."""
        before = self.states
        self.states = {}
        for view in views:
            known = before.get(view.name)
            if known is None or known.view.incarnation < view.incarnation:
                known = self._make_target_state(view)
            known.view = view
            self.states[view.name] = known
        self._ejected &= set(self.states)
        self.partition_targets()

    @property
    def preferred_target(self) -> TargetState | None:
        """Return the reserved target that this instance prefers.

        Reports lag by more than a short call takes, so that instances which
        choose alike meet at one target. Each has one of its own instead.
        """
        if not self.reserved:
            return None
        return self.reserved[self.instance_index % len(self.reserved)]

    def partition_targets(self) -> None:
        """Choose again which targets are usable and which are reserved."""
        usable = [
            one
            for one in self.states.values()
            if not one.view.leaving and one.view.name not in self._ejected
        ]
        usable.sort(key=lambda one: one.rank)
        for state in self.reserved:
            state.reserved = False
        self.reserved = []
        self.regular = usable
        self._resize_reserve(self.compute_reserve_size())

    def compute_reserve_size(self) -> int:
        """Return how many targets short calls need for themselves.

        More than the short work would fill, so that a short call finds one
        idle; fewer the more the document weighs long prompts.
        """
        if self.service.kind != 'model':
            return 0
        usable = len(self.regular) + len(self.reserved)
        weight = 1 - LONG_WEIGHT_REDUCTION * self.long_weight
        factor = RESERVE_FACTOR * weight
        wanted = int(usable * self.workload_mix.short_share * factor)
        return min(wanted, int(usable * MAXIMUM_RESERVED_SHARE))

    def note_call(self, tokens: int, short: bool) -> None:
        """Take a call that was placed; adapt the reserve to the work."""
        self.workload_mix.note(tokens, short)
        wanted = self.compute_reserve_size()
        change = abs(wanted - len(self.reserved))
        # A large reserve moves in strides, for each move costs a copy.
        if change > RESERVE_CHANGE_RATIO * wanted:
            self._resize_reserve(wanted)

    def note_prefill_rate(self, observed: float) -> None:
        """Learn how fast targets prefill from one call that ran."""
        declared = self.service.prefill_tokens_per_s
        bounded = max(MINIMUM_RATE_RATIO * declared, min(declared, observed))
        self.prefill_rate.tokens_per_s += RATE_SMOOTHING * (
            bounded - self.prefill_rate.tokens_per_s
        )

    def note_failure(self, state: TargetState, now_s: float) -> None:
        """Count a failure and eject the target, unless too many are out."""
        if not state.note_failure() or state.view.name in self._ejected:
            return
        if len(self._ejected) + 1 > MAXIMUM_EJECTED_SHARE * len(self.states):
            return
        state.eject(now_s)
        self._ejected.add(state.view.name)
        self.partition_targets()

    def reinstate_ejected(self, now_s: float) -> None:
        """Let targets return whose time is over."""
        if not self._ejected:
            return
        back = [
            name
            for name in self._ejected
            if self.states[name].ejected_until_s <= now_s
        ]
        if back:
            self._ejected.difference_update(back)
            self.partition_targets()

    def count_free_tokens(self, state: TargetState) -> int:
        """Return the free tokens of an engine, none where it takes no call."""
        out = state.view.leaving or state.view.name in self._ejected
        if out or state.running >= self.service.maximum_running:
            return 0
        return state.count_free_tokens(self.service.memory_tokens)

    def _resize_reserve(self, count: int) -> None:
        """Keep the first targets by rank for short calls."""
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
    """Return a pool under a new document; what was learned stays."""
    adopted = evolve(pool, service=service, long_weight=long_weight)
    adopted.partition_targets()
    return adopted
