"""Cost of the peer exchange at several fleet sizes.

Run as ``python -m trefoilhinge.measure.exchanges``; prints JSON. Messages
have the maximum size that their limits allow and a one-way delay of 10 ms.
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
from trefoilhinge.measure.document_cost import (
    DocumentChangeCost,
    measure_document_change,
)
from trefoilhinge.membership.fleet import GossipFleet, make_gossip_fleet
from trefoilhinge.node.composition import EXCHANGE_JITTER
from trefoilhinge.node.core import EXCHANGE_INTERVAL_S
from trefoilhinge.node.document_transfers import DocumentTransfers
from trefoilhinge.node.exchange import PeerExchanger
from trefoilhinge.node.handover import HandoverSender
from trefoilhinge.node.timers import Timer, make_jittered_timer
from trefoilhinge.retries.ledger import make_owned_key_ledger

STEP_S = 0.01
STEPS_PER_TICK = 10
# All instances of a large fleet take longer to discover each other.
WARM_UP_S_PER_INSTANCE = 0.4
MINIMUM_WARM_UP_S = 20.0
MEASUREMENT_S = 20.0
MAXIMUM_WAIT_S = 30.0
# HTTP headers of the request and the response of one message, without bodies.
HEADER_BYTES = 360
# Numbers of instances and organisations.
FLEET_SIZES = ((8, 10), (8, 1600), (64, 10), (64, 1600), (410, 10), (410, 1600))
TARGET = TargetName('target-0')


@frozen
class ExchangeCost:
    """Cost of exchanges for one instance, and propagation times.

    A propagation time of ``MAXIMUM_WAIT_S`` means that some instance had not
    been informed by then.

    :ivar messages_per_s: messages that an instance sends and receives.
    :ivar text_bytes_per_s: bodies that an instance sends and receives, bytes
        per second.
    :ivar bytes_per_s: the same with headers.
    :ivar core_share: CPU seconds per second of one instance.
    :ivar leaving_s: seconds until every instance knows that a target is
        draining.
    :ivar document_s: seconds until every instance has a newer document.
    :ivar documents: documents or deltas transferred per instance.
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
class ExchangeReport:
    """Results of one run."""

    exchanges: tuple[ExchangeCost, ...]
    document: DocumentChangeCost


@define
class FullMessageSource:
    """Limiter and router stub whose entries fill a message to its limits."""

    organisations: int
    _offset: int = 0

    def list_demands(self, limit: int, now: Instant) -> tuple[DemandWord, ...]:
        """Return the maximum number of demands."""
        self._offset += limit
        return tuple(
            DemandWord(
                organisation=f'organisation-{(self._offset + index) % 1600}',
                requests_per_s=123.456,
                tokens_per_s=123456.789,
            )
            for index in range(min(limit, self.organisations))
        )

    def list_charges(self, limit: int) -> tuple[ChargeWord, ...]:
        """Return the maximum number of charges."""
        return tuple(
            ChargeWord(target=f'target-{index}', tokens=1234567, calls=12)
            for index in range(limit)
        )

    def note_peer_demands(self, *_: object) -> None:
        """Ignore the demands of peers."""

    def note_peer_charges(self, *_: object) -> None:
        """Ignore the charges of peers."""


@define
class RevisionReplica:
    """Document replica stub that stores only the revision."""

    revision: int = 1
    refused_digest: str = ''
    text: str = 'd'
    accepted_count: int = 0

    @property
    def digest(self) -> str:
        """Return a digest of realistic length."""
        return f'{self.revision:064x}'

    def merge_text(self, *_: object) -> tuple[Effect, ...]:
        """Accept the newer document."""
        self.revision = 2
        self.accepted_count += 1
        return ()

    def merge_deltas(self, *_: object) -> tuple[Effect, ...]:
        """Accept the newer document."""
        return self.merge_text()

    def find_deltas(self, base: str) -> str:
        """Return a placeholder delta."""
        return 'd'

    def is_refused(self, digest: str) -> bool:
        """Return false; every document is accepted."""
        return False


@define
class Member:
    """One simulated instance."""

    name: InstanceName
    fleet: GossipFleet
    replica: RevisionReplica
    exchanger: PeerExchanger
    timer: Timer

    def run_tick(self, now: Instant) -> list[Effect]:
        """Return the messages that are due."""
        effects = self.exchanger.send(now) if self.timer.take_due(now) else []
        return effects + self.exchanger.send_updates(now)

    def knows_target_leaving(self) -> bool:
        """Return whether the instance knows that the target is draining."""
        return self.fleet.list_targets('service')[0].leaving


@frozen
class _Message:
    due_s: float
    sender: str
    receiver: str
    text: str
    is_request: bool


@define
class GossipSimulation:
    """Fleet on simulated time that counts every message.

    :ivar members: instances by name.
    :ivar characters: total length of the message bodies.
    """

    members: dict[str, Member]
    now_s: float = 0
    messages: int = 0
    characters: int = 0
    _step_count: int = 0
    _in_flight: deque[_Message] = field(factory=deque)

    @property
    def now(self) -> Instant:
        """Return the simulated instant."""
        return Instant(self.now_s, self.now_s)

    def run(self, seconds: float) -> None:
        """Advance simulated time."""
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def step(self) -> None:
        """Advance by one step and deliver the messages that are due.

        Every instance runs its timer once per ``STEPS_PER_TICK`` steps.
        """
        self.now_s += STEP_S
        while self._in_flight and self._in_flight[0].due_s <= self.now_s:
            self._deliver(self._in_flight.popleft())
        self._step_count += 1
        if self._step_count % STEPS_PER_TICK:
            return
        for member in self.members.values():
            self.send_messages(member, member.run_tick(self.now))

    def send_messages(self, member: Member, effects: list[Effect]) -> None:
        """Enqueue the messages among the effects of a member."""
        for effect in effects:
            if isinstance(effect, SendPeerMessage):
                self._enqueue(member.name, effect.address, effect.text, True)

    def _deliver(self, message: _Message) -> None:
        member = self.members[message.receiver]
        exchanger = member.exchanger
        if message.is_request:
            event = PeerMessageReceived('token', message.text)
            effects, _ = exchanger.receive(event, self.now)
        else:
            answer_event = PeerAnswered(
                InstanceName(message.sender), message.text
            )
            effects, _ = exchanger.receive_reply(answer_event, self.now)
        for effect in effects:
            if isinstance(effect, AnswerPeer):
                self._enqueue(member.name, message.sender, effect.text, False)
        self.send_messages(member, effects)
        self.send_messages(member, exchanger.send_updates(self.now))

    def _enqueue(
        self,
        sender: str,
        receiver: str,
        text: str,
        is_request: bool,
    ) -> None:
        self.messages += 1
        self.characters += len(text)
        due_s = self.now_s + STEP_S
        self._in_flight.append(
            _Message(due_s, sender, receiver, text, is_request)
        )


def make_gossip_simulation(count: int, organisations: int) -> GossipSimulation:
    """Return a fleet whose instances are listed by the platform."""
    names = [InstanceName(f'instance-{number}') for number in range(count)]
    listed = InstancesListed(
        tuple(ListedInstance(peer, peer, 'domain') for peer in names),
        (ListedTarget(TARGET, 'target:1', 'domain', 'service'),),
    )
    members = {}
    for number, name in enumerate(names):
        members[str(name)] = _make_member(name, number, organisations)
        members[str(name)].fleet.note_listed(listed, Instant(0, 0))
    return GossipSimulation(members)


def _make_member(
    name: InstanceName,
    number: int,
    organisations: int,
) -> Member:
    identity = InstanceIdentity(name, 1_790_000_000_000)
    fleet = make_gossip_fleet(identity, name, (), number)
    ledger = make_owned_key_ledger(identity, 'secret', '0')
    message_source = FullMessageSource(organisations)
    replica = RevisionReplica()
    exchanger = PeerExchanger(
        fleet,
        message_source,  # type: ignore[arg-type]
        message_source,  # type: ignore[arg-type]
        ledger,
        replica,  # type: ignore[arg-type]
        HandoverSender(ledger, fleet),
        DocumentTransfers(replica),  # type: ignore[arg-type]
    )
    timer = make_jittered_timer(EXCHANGE_INTERVAL_S, EXCHANGE_JITTER, number)
    return Member(name, fleet, replica, exchanger, timer)


def measure_exchanges(count: int, organisations: int) -> ExchangeCost:
    """Measure one fleet size."""
    simulation = make_gossip_simulation(count, organisations)
    simulation.run(max(MINIMUM_WARM_UP_S, count * WARM_UP_S_PER_INSTANCE))
    simulation.messages = 0
    simulation.characters = 0
    started_s = time.process_time()
    simulation.run(MEASUREMENT_S)
    cpu_s = time.process_time() - started_s
    messages_per_s = simulation.messages / MEASUREMENT_S / count
    text_bytes_per_s = simulation.characters / MEASUREMENT_S / count
    first_member = simulation.members['instance-0']
    first_member.fleet.note_leaving(TARGET, 1, simulation.now)
    leaving_s = _measure_wait_s(simulation, Member.knows_target_leaving)
    first_member.replica.revision = 2
    document_s = _measure_wait_s(
        simulation, lambda member: member.replica.revision == 2
    )
    simulation.run(2)
    accepted_count = sum(
        member.replica.accepted_count for member in simulation.members.values()
    )
    return ExchangeCost(
        instances=count,
        organisations=organisations,
        # Each message counts at its sender and at its receiver.
        messages_per_s=round(2 * messages_per_s, 1),
        text_bytes_per_s=round(2 * text_bytes_per_s),
        bytes_per_s=round(2 * text_bytes_per_s + messages_per_s * HEADER_BYTES),
        core_share=round(cpu_s / MEASUREMENT_S / count, 5),
        leaving_s=leaving_s,
        document_s=document_s,
        documents=round(accepted_count / max(1, count - 1), 2),
    )


def _measure_wait_s(
    simulation: GossipSimulation, is_informed: Callable[[Member], bool]
) -> float:
    started_s = simulation.now_s
    while simulation.now_s - started_s < MAXIMUM_WAIT_S:
        if all(is_informed(member) for member in simulation.members.values()):
            return round(simulation.now_s - started_s, 2)
        simulation.step()
    return MAXIMUM_WAIT_S


def main() -> None:
    """Measure every fleet size and print the results as JSON."""
    report = ExchangeReport(
        tuple(measure_exchanges(*size) for size in FLEET_SIZES),
        measure_document_change(),
    )
    json.dump(cattrs.unstructure(report), sys.stdout, indent=2)
    sys.stdout.write('\n')


if __name__ == '__main__':
    main()
