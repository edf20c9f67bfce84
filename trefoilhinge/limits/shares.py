"""This instance's share of an organisation's rates across the fleet.

Every instance tells its peers what it is asked for. Each takes a part of the
rate in proportion to what it is asked for itself. Only peers that were heard
from lately count with their demand; for each silent or unknown one an even
part is set aside, so that the parts of all instances never sum up to more
than the rate by more than the lag of the messages allows.
"""

from attrs import define, field

from trefoilhinge.conf.generated.messages import DemandWord
from trefoilhinge.core.identifiers import InstanceName

# Demands older than this no longer count; their peer is set an even part.
DEMAND_TTL_S = 5.0
DEMAND_WINDOW_S = 5.0
# Part of a rate that is divided evenly, so that an instance with a new
# demand can admit something at once.
EQUAL_SHARE_RATIO = 0.2
# Instances to reckon with before anything is known of the fleet.
DEFAULT_FLEET_SIZE = 8
MINIMUM_DEMAND_TOKENS_PER_S = 1e-6


@define
class Demand:
    """What callers ask for here, smoothed over a few seconds."""

    requests_per_s: float = 0
    tokens_per_s: float = 0
    advertised_tokens_per_s: float = 0
    noted_s: float = 0

    def note(self, tokens: int, now_s: float) -> None:
        """Take a call that was asked for, admitted or not."""
        self.decay(now_s)
        self.requests_per_s += 1 / DEMAND_WINDOW_S
        self.tokens_per_s += tokens / DEMAND_WINDOW_S

    def decay(self, now_s: float) -> None:
        """Forget what was asked for long ago."""
        kept = max(0, 1 - max(0, now_s - self.noted_s) / DEMAND_WINDOW_S)
        self.requests_per_s *= kept
        self.tokens_per_s *= kept
        self.noted_s = max(self.noted_s, now_s)


@define
class _PeerDemand:
    """What a peer said of one organisation."""

    reported_s: float
    tokens_per_s: float


@define
class ShareAllocator:
    """Demands of this instance and of its peers."""

    _own: dict[str, Demand] = field(factory=dict)
    _peers: dict[str, dict[InstanceName, _PeerDemand]] = field(factory=dict)
    _live: frozenset[InstanceName] = frozenset()
    _expected: int = DEFAULT_FLEET_SIZE
    _last_heard_s: dict[InstanceName, float] = field(factory=dict)
    _rotation_offset: int = 0

    def note_demand(self, organisation: str, tokens: int, now_s: float) -> None:
        """Take a call that was asked for here."""
        demand = self._own.setdefault(organisation, Demand(noted_s=now_s))
        demand.note(tokens, now_s)

    def note_peer(
        self,
        peer: InstanceName,
        demands: tuple[DemandWord, ...],
        now_s: float,
    ) -> None:
        """Take what a peer is asked for; what it leaves out ages."""
        self._last_heard_s[peer] = now_s
        for word in demands:
            told = self._peers.setdefault(word.organisation, {})
            told[peer] = _PeerDemand(now_s, word.tokens_per_s)

    def note_peers(self, live: frozenset[InstanceName], expected: int) -> None:
        """Take which instances are heard from, this one included."""
        self._live = live
        self._expected = max(1, expected, len(live))

    def compute_share(self, organisation: str, now_s: float) -> float:
        """Return the part of an organisation's rates that is used here."""
        heard = self._count_heard(now_s)
        even = 1 / self._expected
        own = self._own.get(organisation)
        mine = MINIMUM_DEMAND_TOKENS_PER_S
        if own is not None:
            own.decay(now_s)
            # The peers divide by what they were told, so must this one.
            mine += min(own.tokens_per_s, own.advertised_tokens_per_s)
        theirs = heard * MINIMUM_DEMAND_TOKENS_PER_S
        for told in self._peers.get(organisation, {}).values():
            if now_s - told.reported_s < DEMAND_TTL_S:
                theirs += told.tokens_per_s
        divided = (heard + 1) * even * (1 - EQUAL_SHARE_RATIO)
        return even * EQUAL_SHARE_RATIO + divided * mine / (mine + theirs)

    def list_demands(self, limit: int, now_s: float) -> tuple[DemandWord, ...]:
        """Return the most changed demands, then a part that rotates."""
        for demand in self._own.values():
            demand.decay(now_s)
        ranked = sorted(
            self._own,
            key=lambda name: -_compute_demand_change(self._own[name]),
        )
        changed = ranked[: limit // 2]
        rest = sorted(set(ranked) - set(changed))
        start = self._rotation_offset % max(1, len(rest))
        turned = (rest[start:] + rest[:start])[: limit - len(changed)]
        self._rotation_offset += len(turned)
        return tuple(self._advertise(name) for name in (*changed, *turned))

    def _count_heard(self, now_s: float) -> int:
        heard = sum(
            now_s - reported_s < DEMAND_TTL_S
            for reported_s in self._last_heard_s.values()
        )
        return min(heard, self._expected - 1)

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
