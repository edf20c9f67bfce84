"""Measures the exchanges between instances at several sizes of the fleet.

Run as ``python -m trefoilhinge.measure.exchanges``; prints JSON. Messages are
of the largest size that their bounds allow, and take 10 ms one way.
"""

import json
import sys
import time
from collections import deque
from collections.abc import Callable

import cattrs
from attrs import define, field, frozen

from trefoilhinge.conf.generated.messages import ChargeWord, DemandWord
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.effects import AnswerPeer, Effect, SendPeerMessage
from trefoilhinge.core.events import (
    InstancesListed,
    PeerAnswered,
    PeerMessageReceived,
)
from trefoilhinge.core.identifiers import (
    InstanceIdentity,
    InstanceName,
    TargetName,
)
from trefoilhinge.core.reports import ListedInstance, ListedTarget
from trefoilhinge.measure.documents import DocumentCost, measure_document
from trefoilhinge.membership.fleet import GossipFleet, make_gossip_fleet
from trefoilhinge.node.composition import EXCHANGE_JITTER
from trefoilhinge.node.core import EXCHANGE_INTERVAL_S
from trefoilhinge.node.document_transfers import DocumentTransfers
from trefoilhinge.node.exchange import PeerExchanger
from trefoilhinge.node.handover import HandoverSender
from trefoilhinge.node.timers import Timer, make_jittered_timer
from trefoilhinge.retries.ledger import make_owned_key_ledger

STEP_S = 0.01
STEPS_A_TICK = 10
# Until the instances of a large fleet have heard of each other.
WARM_UP_S_AN_INSTANCE = 0.4
WARM_UP_S = 20.0
STEADY_S = 20.0
LONGEST_S = 30.0
# Request and answer of one message over HTTP, beside their texts.
HEADER_BYTES = 360
SIZES = ((8, 10), (8, 1600), (64, 10), (64, 1600), (410, 10), (410, 1600))
TARGET = TargetName('target-0')


@frozen
class ExchangeFigures:
    """What exchanges cost one instance, and how fast news travels.

    :ivar text_bytes_per_s: text that an instance sends and receives.
    :ivar bytes_per_s: the same with headers.
    :ivar core_share: processor seconds a second of one instance.
    :ivar leaving_s: seconds until every instance knows a leaving target.
    :ivar document_s: seconds until every instance has a newer document.
    :ivar documents: documents or deltas carried for each instance.
    """

    instances: int
    organisations: int
    messages_per_s: float
    text_bytes_per_s: float
    bytes_per_s: float
    core_share: float
    leaving_s: float
    document_s: float
    documents: float


@frozen
class Figures:
    """All figures of one run."""

    exchanges: tuple[ExchangeFigures, ...]
    document: DocumentCost


@define
class FullParts:
    """Limiter and router whose words fill a message."""

    organisations: int
    _turn: int = 0

    def list_demands(self, limit: int, now: Instant) -> tuple[DemandWord, ...]:
        """Return as many demands as there may be."""
        self._turn += limit
        return tuple(
            DemandWord(
                organisation=f'organisation-{(self._turn + at) % 1600}',
                requests_per_s=123.456,
                tokens_per_s=123456.789,
            )
            for at in range(min(limit, self.organisations))
        )

    def list_charges(self, limit: int) -> tuple[ChargeWord, ...]:
        """Return as many charges as there may be."""
        return tuple(
            ChargeWord(target=f'target-{at}', tokens=1234567, calls=12)
            for at in range(limit)
        )

    def note_peer_demands(self, *_: object) -> None:
        """Take no notice."""

    def note_peer_charges(self, *_: object) -> None:
        """Take no notice."""


@define
class RankKeeper:
    """Document replica that knows documents by their revision alone."""

    revision: int = 1
    refused_digest: str = ''
    text: str = 'd'
    taken: int = 0

    @property
    def digest(self) -> str:
        """Return a digest of the usual length."""
        return f'{self.revision:064x}'

    def merge_text(self, *_: object) -> tuple[Effect, ...]:
        """Take the newer document."""
        self.revision = 2
        self.taken += 1
        return ()

    def merge_deltas(self, *_: object) -> tuple[Effect, ...]:
        """Take the newer document."""
        return self.merge_text()

    def find_deltas(self, base: str) -> str:
        """Return a delta."""
        return 'd'

    def is_refused(self, digest: str) -> bool:
        """Refuse nothing."""
        return False


@define
class Member:
    """One instance of the measured fleet."""

    name: InstanceName
    fleet: GossipFleet
    keeper: RankKeeper
    exchanger: PeerExchanger
    timer: Timer

    def act(self, now: Instant) -> list[Effect]:
        """Send what is due."""
        effects = self.exchanger.send(now) if self.timer.take_due(now) else []
        return effects + self.exchanger.send_updates(now)

    def knows_leaving(self) -> bool:
        """Return whether the target is known to leave."""
        return self.fleet.list_targets('service')[0].leaving


@frozen
class _Mail:
    due_s: float
    sender: str
    receiver: str
    text: str
    question: bool


@define
class MeasuredFleet:
    """A fleet on simulated time, with every message counted."""

    members: dict[str, Member]
    now_s: float = 0
    messages: int = 0
    characters: int = 0
    _steps: int = 0
    _mail: deque[_Mail] = field(factory=deque)

    @property
    def now(self) -> Instant:
        """Return the simulated instant."""
        return Instant(self.now_s, self.now_s)

    def run(self, seconds: float) -> None:
        """Let simulated time pass."""
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def step(self) -> None:
        """Deliver what is due and let every instance act."""
        self.now_s += STEP_S
        while self._mail and self._mail[0].due_s <= self.now_s:
            self._deliver(self._mail.popleft())
        self._steps += 1
        if self._steps % STEPS_A_TICK:
            return
        for member in self.members.values():
            self.send(member, member.act(self.now))

    def send(self, member: Member, effects: list[Effect]) -> None:
        """Put a member's messages on their way."""
        for effect in effects:
            if isinstance(effect, SendPeerMessage):
                self._post(member.name, effect.address, effect.text, True)

    def _deliver(self, mail: _Mail) -> None:
        member = self.members[mail.receiver]
        exchanger = member.exchanger
        if mail.question:
            event = PeerMessageReceived('token', mail.text)
            effects, _ = exchanger.receive(event, self.now)
        else:
            answered = PeerAnswered(InstanceName(mail.sender), mail.text)
            effects, _ = exchanger.receive_reply(answered, self.now)
        for effect in effects:
            if isinstance(effect, AnswerPeer):
                self._post(member.name, mail.sender, effect.text, False)
        self.send(member, effects)
        self.send(member, exchanger.send_updates(self.now))

    def _post(
        self,
        sender: str,
        receiver: str,
        text: str,
        question: bool,
    ) -> None:
        self.messages += 1
        self.characters += len(text)
        due_s = self.now_s + STEP_S
        self._mail.append(_Mail(due_s, sender, receiver, text, question))


def make_measured_fleet(count: int, organisations: int) -> MeasuredFleet:
    """Return a fleet whose instances know each other from the list."""
    names = [InstanceName(f'instance-{number}') for number in range(count)]
    listed = InstancesListed(
        tuple(ListedInstance(one, one, 'domain') for one in names),
        (ListedTarget(TARGET, 'target:1', 'domain', 'service'),),
    )
    members = {}
    for number, name in enumerate(names):
        members[str(name)] = _make_member(name, number, organisations)
        members[str(name)].fleet.note_listed(listed, Instant(0, 0))
    return MeasuredFleet(members)


def _make_member(
    name: InstanceName,
    number: int,
    organisations: int,
) -> Member:
    identity = InstanceIdentity(name, 1_790_000_000_000)
    fleet = make_gossip_fleet(identity, name, (), number)
    ledger = make_owned_key_ledger(identity, 'secret', '0')
    parts = FullParts(organisations)
    keeper = RankKeeper()
    exchanger = PeerExchanger(
        fleet,
        parts,  # type: ignore[arg-type]
        parts,  # type: ignore[arg-type]
        ledger,
        keeper,  # type: ignore[arg-type]
        HandoverSender(ledger, fleet),
        DocumentTransfers(keeper),  # type: ignore[arg-type]
    )
    timer = make_jittered_timer(EXCHANGE_INTERVAL_S, EXCHANGE_JITTER, number)
    return Member(name, fleet, keeper, exchanger, timer)


def measure_exchanges(count: int, organisations: int) -> ExchangeFigures:
    """Measure one size of the fleet."""
    fleet = make_measured_fleet(count, organisations)
    fleet.run(max(WARM_UP_S, count * WARM_UP_S_AN_INSTANCE))
    fleet.messages = 0
    fleet.characters = 0
    began_s = time.process_time()
    fleet.run(STEADY_S)
    took_s = time.process_time() - began_s
    messages = fleet.messages / STEADY_S / count
    text = fleet.characters / STEADY_S / count
    first = fleet.members['instance-0']
    first.fleet.note_leaving(TARGET, 1, fleet.now)
    leaving_s = _wait(fleet, Member.knows_leaving)
    first.keeper.revision = 2
    document_s = _wait(fleet, lambda one: one.keeper.revision == 2)
    fleet.run(2)
    taken = sum(one.keeper.taken for one in fleet.members.values())
    return ExchangeFigures(
        instances=count,
        organisations=organisations,
        # Each message is sent by one instance and received by another.
        messages_per_s=round(2 * messages, 1),
        text_bytes_per_s=round(2 * text),
        bytes_per_s=round(2 * text + messages * HEADER_BYTES),
        core_share=round(took_s / STEADY_S / count, 5),
        leaving_s=leaving_s,
        document_s=document_s,
        documents=round(taken / max(1, count - 1), 2),
    )


def _wait(fleet: MeasuredFleet, knows: Callable[[Member], bool]) -> float:
    began_s = fleet.now_s
    while fleet.now_s - began_s < LONGEST_S:
        if all(knows(one) for one in fleet.members.values()):
            return round(fleet.now_s - began_s, 2)
        fleet.step()
    return LONGEST_S


def main() -> None:
    """Measure every size and print the figures as JSON."""
    figures = Figures(
        tuple(measure_exchanges(*size) for size in SIZES),
        measure_document(),
    )
    json.dump(cattrs.unstructure(figures), sys.stdout, indent=2)
    sys.stdout.write('\n')


if __name__ == '__main__':
    main()
