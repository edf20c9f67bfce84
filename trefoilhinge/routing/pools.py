"""The usable targets of one service, part of them kept for short calls."""

import xxhash
from attrs import define, evolve, field

from trefoilhinge.conf.generated.document import Service
from trefoilhinge.core.identifiers import TargetName
from trefoilhinge.membership.interfaces import TargetView
from trefoilhinge.routing.states import Speed, TargetState

LARGEST_EJECTED_SHARE = 0.34
LARGEST_RESERVED_SHARE = 0.25
RESERVED_FOR_SHORT_WORK = 10.0
LONG_WEIGHT_GAIN = 0.5
PRIOR_SHORT_SHARE = 0.08
RESERVE_STRIDE = 0.1
MIX_DECAY = 0.995
SMALLEST_RATE_FACTOR = 0.25
RATE_GAIN = 0.1


@define
class WorkMix:
    """Shares of short and other work among recent calls, by tokens."""

    short_tokens: float = PRIOR_SHORT_SHARE * 1_000_000
    all_tokens: float = 1_000_000

    def note(self, tokens: int, short: bool) -> None:
        """Take a call that was placed."""
        self.all_tokens = self.all_tokens * MIX_DECAY + tokens
        self.short_tokens *= MIX_DECAY
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
    :ivar place: place of this instance among those it hears from, by name.
    """

    service: Service
    long_weight: float
    instance: str
    failure_domain: str
    states: dict[TargetName, TargetState] = field(factory=dict)
    regular: list[TargetState] = field(factory=list)
    reserved: list[TargetState] = field(factory=list)
    mix: WorkMix = field(factory=WorkMix)
    speed: Speed = field(factory=lambda: Speed(0))
    place: int = 0
    _ejected: set[TargetName] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Begin with the rate that the document declares."""
        if not self.speed.rate:
            self.speed = Speed(self.service.prefill_tokens_per_s)

    def replace(self, views: tuple[TargetView, ...]) -> None:
        """Take the whole list of targets; one that restarted is new."""
        before = self.states
        self.states = {}
        for view in views:
            known = before.get(view.name)
            if known is None or known.view.incarnation < view.incarnation:
                known = self._make_state(view)
            known.view = view
            self.states[view.name] = known
        self._ejected &= set(self.states)
        self.sort_targets()

    @property
    def home(self) -> TargetState | None:
        """Return the reserved target that this instance prefers.

        Reports lag by more than a short call takes, so that instances which
        choose alike meet at one target. Each has one of its own instead.
        """
        if not self.reserved:
            return None
        return self.reserved[self.place % len(self.reserved)]

    def sort_targets(self) -> None:
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
        self._reserve(self.count_reserved())

    def count_reserved(self) -> int:
        """Return how many targets short calls need for themselves.

        More than the short work would fill, so that a short call finds one
        idle; fewer the more the document weighs long prompts.
        """
        if self.service.kind != 'model':
            return 0
        usable = len(self.regular) + len(self.reserved)
        weight = 1 - LONG_WEIGHT_GAIN * self.long_weight
        factor = RESERVED_FOR_SHORT_WORK * weight
        wanted = int(usable * self.mix.short_share * factor)
        return min(wanted, int(usable * LARGEST_RESERVED_SHARE))

    def note_call(self, tokens: int, short: bool) -> None:
        """Take a call that was placed; adapt the reserve to the work."""
        self.mix.note(tokens, short)
        wanted = self.count_reserved()
        change = abs(wanted - len(self.reserved))
        # A large reserve moves in strides, for each move costs a copy.
        if change > RESERVE_STRIDE * wanted:
            self._reserve(wanted)

    def note_rate(self, observed: float) -> None:
        """Learn how fast targets prefill from one call that ran."""
        declared = self.service.prefill_tokens_per_s
        bounded = max(SMALLEST_RATE_FACTOR * declared, min(declared, observed))
        self.speed.rate += RATE_GAIN * (bounded - self.speed.rate)

    def note_failure(self, state: TargetState, now_s: float) -> None:
        """Count a failure and eject the target, unless too many are out."""
        if not state.note_failure() or state.view.name in self._ejected:
            return
        if len(self._ejected) + 1 > LARGEST_EJECTED_SHARE * len(self.states):
            return
        state.eject(now_s)
        self._ejected.add(state.view.name)
        self.sort_targets()

    def return_ejected(self, now_s: float) -> None:
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
            self.sort_targets()

    def find_free(self, state: TargetState) -> int:
        """Return the free tokens of an engine, none where it takes no call."""
        out = state.view.leaving or state.view.name in self._ejected
        if out or state.running >= self.service.maximum_running:
            return 0
        return state.find_free(self.service.memory_tokens)

    def _reserve(self, count: int) -> None:
        """Keep the first targets by rank for short calls."""
        usable = [*self.reserved, *self.regular]
        for state in usable[count : len(self.reserved)]:
            state.reserved = False
        for state in usable[len(self.reserved) : count]:
            state.reserved = True
        self.reserved = usable[:count]
        self.regular = usable[count:]

    def _make_state(self, view: TargetView) -> TargetState:
        return TargetState(
            view,
            local=view.failure_domain == self.failure_domain,
            rank=xxhash.xxh64_intdigest(view.name.encode()),
            preference=xxhash.xxh64_intdigest(
                f'{self.instance}/{view.name}'.encode(),
            ),
            speed=self.speed,
        )


def adopt_service(
    pool: ServicePool,
    service: Service,
    long_weight: float,
) -> ServicePool:
    """Return a pool under a new document; what was learned stays."""
    adopted = evolve(pool, service=service, long_weight=long_weight)
    adopted.sort_targets()
    return adopted
