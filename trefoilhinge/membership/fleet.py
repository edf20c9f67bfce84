"""What this instance knows of its peers and of targets."""

from attrs import define, evolve, field, frozen

from trefoilhinge.conf.generated.document import Document
from trefoilhinge.conf.generated.messages import (
    InstanceWord,
    LeavingWord,
    PeerExchange,
)
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.events import InstancesListed
from trefoilhinge.core.identifiers import (
    InstanceIdentity,
    InstanceName,
    TargetName,
)
from trefoilhinge.node.parts import TargetView

LIVE_S = 5.0


@frozen
class _Peer:
    address: str
    incarnation: int = 0
    heard_s: float | None = None
    stopping: bool = False


@define
class ExchangeFleet:
    """Keeps peers by what they say and targets by every word of them."""

    _identity: InstanceIdentity
    _address: str
    _seeds: tuple[str, ...]
    _peers: dict[InstanceName, _Peer] = field(factory=dict)
    _configured: dict[TargetName, TargetView] = field(factory=dict)
    _listed: dict[TargetName, TargetView] = field(factory=dict)
    _left: dict[TargetName, int] = field(factory=dict)
    _incarnations: dict[TargetName, int] = field(factory=dict)
    _changed: set[str] = field(factory=set)
    _stopping: bool = False
    _sequence: int = 0

    def configure(self, document: Document, now: Instant) -> None:
        """Take the document's targets."""
        self._configured = {
            TargetName(one.name): TargetView(
                TargetName(one.name),
                one.address,
                one.failure_domain,
                service.name,
            )
            for service in document.services
            for one in service.targets
        }
        self._changed.update(one.name for one in document.services)

    def note_listed(self, listed: InstancesListed, now: Instant) -> None:
        """Take the platform's lists."""
        if listed.instances is None:
            return
        for one in listed.instances:
            if one.name != self._identity.name:
                known = self._peers.get(one.name, _Peer(one.address))
                self._peers[one.name] = evolve(known, address=one.address)
        self._listed = {
            one.name: TargetView(
                one.name,
                one.address,
                one.failure_domain,
                one.service,
            )
            for one in listed.targets
        }
        self._changed.update(one.service for one in listed.targets)
        for target in listed.targets:
            if target.leaving:
                incarnation = self._incarnations.get(target.name, 0)
                self.note_leaving(target.name, incarnation, now)

    def note_leaving(
        self,
        target: TargetName,
        incarnation: int,
        now: Instant,
    ) -> None:
        """Take the word that an incarnation of a target is leaving."""
        if incarnation > self._left.get(target, -1):
            self._left[target] = incarnation
            self._mark_changed(target)

    def note_incarnation(
        self,
        target: TargetName,
        incarnation: int,
        now: Instant,
    ) -> None:
        """Take a target's own word of its incarnation."""
        if incarnation > self._incarnations.get(target, 0):
            self._incarnations[target] = incarnation
            self._mark_changed(target)

    def list_targets(self, service: str) -> tuple[TargetView, ...]:
        """Return every target of a service, leaving ones marked."""
        known = {**self._listed, **self._configured}
        return tuple(
            evolve(
                one,
                leaving=self._is_leaving(one.name),
                incarnation=self._incarnations.get(one.name, 0),
            )
            for one in known.values()
            if one.service == service
        )

    def take_changed_services(self) -> frozenset[str]:
        """Return the services whose targets changed since the last call."""
        changed = frozenset(self._changed)
        self._changed.clear()
        return changed

    def note_exchange(self, exchange: PeerExchange, now: Instant) -> bool:
        """Take a peer's message."""
        name = InstanceName(exchange.sender)
        known = self._peers.get(name)
        if name == self._identity.name:
            return False
        if known is not None and exchange.incarnation < known.incarnation:
            return False
        self._peers[name] = _Peer(
            exchange.address,
            exchange.incarnation,
            now.monotonic_s,
            exchange.stopping,
        )
        for word in exchange.instances:
            self._note_word(word)
        for left in exchange.leaving:
            self.note_leaving(TargetName(left.target), left.incarnation, now)
        return True

    def note_peer_silent(self, peer: InstanceName, now: Instant) -> None:
        """Take no notice: silence shows by the age of the last word."""

    def choose_peers(
        self, now: Instant
    ) -> tuple[tuple[InstanceName, str], ...]:
        """Return every peer."""
        return tuple((name, peer.address) for name, peer in self._peers.items())

    def list_live(self, now: Instant) -> frozenset[InstanceIdentity]:
        """Return the instances heard from, this one included."""
        live = {
            InstanceIdentity(name, peer.incarnation)
            for name, peer in self._peers.items()
            if peer.heard_s is not None
            and now.monotonic_s - peer.heard_s < LIVE_S
        }
        return frozenset((self._identity, *live))

    def count_expected(self) -> int:
        """Return how many instances there should be."""
        return 1 + len(self._peers)

    def find_address(
        self,
        peer: InstanceName,
        incarnation: int,
    ) -> str | None:
        """Return the address of one incarnation."""
        known = self._peers.get(peer)
        if known is None or known.incarnation != incarnation:
            return None
        return known.address

    def fill_exchange(self, now: Instant) -> PeerExchange:
        """Return this instance's word on instances and leaving targets."""
        self._sequence += 1
        return PeerExchange(
            sender=self._identity.name,
            incarnation=self._identity.incarnation,
            sequence=self._sequence,
            address=self._address,
            revision=0,
            digest='',
            stopping=self._stopping,
            instances=tuple(
                InstanceWord(
                    name=name,
                    incarnation=peer.incarnation,
                    address=peer.address,
                    stopping=peer.stopping,
                )
                for name, peer in self._peers.items()
            ),
            leaving=tuple(
                LeavingWord(target=name, incarnation=incarnation)
                for name, incarnation in self._left.items()
            ),
        )

    def note_stopping(self) -> None:
        """Mark this instance as stopping."""
        self._stopping = True

    def _note_word(self, word: InstanceWord) -> None:
        name = InstanceName(word.name)
        known = self._peers.get(name)
        if name == self._identity.name:
            return
        if known is None or word.incarnation > known.incarnation:
            self._peers[name] = _Peer(
                word.address,
                word.incarnation,
                None,
                word.stopping,
            )

    def _is_leaving(self, target: TargetName) -> bool:
        left = self._left.get(target)
        return left is not None and left >= self._incarnations.get(target, 0)

    def _mark_changed(self, target: TargetName) -> None:
        view = self._configured.get(target) or self._listed.get(target)
        if view is not None:
            self._changed.add(view.service)


def make_exchange_fleet(
    identity: InstanceIdentity,
    address: str,
    seeds: tuple[str, ...],
) -> ExchangeFleet:
    """Return a fleet that knows only this instance.

    :param address: ``host:port`` that peers reach this instance at.
    :param seeds: addresses of peers whose names are not known yet.
    """
    return ExchangeFleet(identity, address, seeds)
