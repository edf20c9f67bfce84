"""Share of an organisation's fleet-wide rates used by this instance.

Each instance advertises its demand to its peers and takes a share of the rate
in proportion to its own demand. Only peers that were heard from lately count
with their demand. For each silent or unknown peer an equal share is set
aside, so that the sum of all shares exceeds the rate by no more than the lag
of the messages allows.
"""

from attrs import define, field

from trefoilhinge.conf.generated.messages import DemandWord
from trefoilhinge.core.identifiers import InstanceName

# Time after which the demand of a peer expires; an equal share is then set
# aside for it.
DEMAND_TTL_S = 5.0
# Window over which demand is smoothed.
DEMAND_WINDOW_S = 5.0
# Part of a rate that is divided equally, so that an instance with new demand
# can admit calls at once.
EQUAL_SHARE_RATIO = 0.2
# Assumed number of instances until the size of the fleet is known.
DEFAULT_FLEET_SIZE = 8
# Demand assumed of every instance, so that shares are defined while no
# organisation has any demand.
MINIMUM_DEMAND_TOKENS_PER_S = 1e-6


@define
class Demand:
    """Demand of an organisation at this instance, smoothed over a window.

    :ivar requests_per_s: requests per second, admitted or not.
    :ivar tokens_per_s: tokens per second, admitted or not.
    :ivar advertised_tokens_per_s: tokens per second last sent to the peers.
    :ivar noted_s: monotonic seconds of the last decay.
    """

    requests_per_s: float = 0
    tokens_per_s: float = 0
    advertised_tokens_per_s: float = 0
    noted_s: float = 0

    def note(self, tokens: int, now_s: float) -> None:
        """Record a requested call, admitted or not."""
        self.decay(now_s)
        self.requests_per_s += 1 / DEMAND_WINDOW_S
        self.tokens_per_s += tokens / DEMAND_WINDOW_S

    def decay(self, now_s: float) -> None:
        """Reduce the demand by the part of the window that has passed."""
        kept = max(0, 1 - max(0, now_s - self.noted_s) / DEMAND_WINDOW_S)
        self.requests_per_s *= kept
        self.tokens_per_s *= kept
        self.noted_s = max(self.noted_s, now_s)


@define
class _PeerDemand:
    """Demand of one organisation as a peer reported it.

    :ivar reported_s: monotonic seconds at which the report was received.
    :ivar tokens_per_s: tokens per second, admitted or not.
    """

    reported_s: float
    tokens_per_s: float


@define
class ShareAllocator:
    """Divides rates by the demands of this instance and of its peers."""

    _own: dict[str, Demand] = field(factory=dict)
    _peers: dict[str, dict[InstanceName, _PeerDemand]] = field(factory=dict)
    _live: frozenset[InstanceName] = frozenset()
    _expected: int = DEFAULT_FLEET_SIZE
    _last_heard_s: dict[InstanceName, float] = field(factory=dict)
    _rotation_offset: int = 0

    def note_demand(self, organisation: str, tokens: int, now_s: float) -> None:
        """Record a call that was requested at this instance."""
        demand = self._own.setdefault(organisation, Demand(noted_s=now_s))
        demand.note(tokens, now_s)

    def note_peer(
        self,
        peer: InstanceName,
        demands: tuple[DemandWord, ...],
        now_s: float,
    ) -> None:
        """Record the demands of a peer; those it omits expire."""
        self._last_heard_s[peer] = now_s
        for word in demands:
            reported = self._peers.setdefault(word.organisation, {})
            reported[peer] = _PeerDemand(now_s, word.tokens_per_s)

    def note_peers(self, live: frozenset[InstanceName], expected: int) -> None:
        """Record which instances are live, this one included."""
        self._live = live
        self._expected = max(1, expected, len(live))

    def compute_share(self, organisation: str, now_s: float) -> float:
        """Return the share of an organisation's rates, from 0 to 1."""
        heard_peers = self._count_heard(now_s)
        equal_share = 1 / self._expected
        own = self._own.get(organisation)
        own_demand = MINIMUM_DEMAND_TOKENS_PER_S
        if own is not None:
            own.decay(now_s)
            # The peers divide by the advertised demand, so this instance must
            # count no more than that.
            own_demand += min(own.tokens_per_s, own.advertised_tokens_per_s)
        peer_demand = heard_peers * MINIMUM_DEMAND_TOKENS_PER_S
        for demand in self._peers.get(organisation, {}).values():
            if now_s - demand.reported_s < DEMAND_TTL_S:
                peer_demand += demand.tokens_per_s
        divided_share = (
            (heard_peers + 1) * equal_share * (1 - EQUAL_SHARE_RATIO)
        )
        return equal_share * EQUAL_SHARE_RATIO + divided_share * own_demand / (
            own_demand + peer_demand
        )

    def list_demands(self, limit: int, now_s: float) -> tuple[DemandWord, ...]:
        """Return up to ``limit`` demands to advertise.

        The first half are the most changed ones, the rest rotates over the
        other organisations.
        """
        for demand in self._own.values():
            demand.decay(now_s)
        ranked = sorted(
            self._own,
            key=lambda name: -_compute_demand_change(self._own[name]),
        )
        changed = ranked[: limit // 2]
        rest = sorted(set(ranked) - set(changed))
        start = self._rotation_offset % max(1, len(rest))
        rotated = (rest[start:] + rest[:start])[: limit - len(changed)]
        self._rotation_offset += len(rotated)
        return tuple(self._advertise(name) for name in (*changed, *rotated))

    def _count_heard(self, now_s: float) -> int:
        heard_peers = sum(
            now_s - reported_s < DEMAND_TTL_S
            for reported_s in self._last_heard_s.values()
        )
        return min(heard_peers, self._expected - 1)

    def _advertise(self, name: str) -> DemandWord:
        demand = self._own[name]
        demand.advertised_tokens_per_s = demand.tokens_per_s
        return DemandWord(
            organisation=name,
            requests_per_s=demand.requests_per_s,
            tokens_per_s=demand.tokens_per_s,
        )


def _compute_demand_change(demand: Demand) -> float:
    return abs(demand.tokens_per_s - demand.advertised_tokens_per_s)
