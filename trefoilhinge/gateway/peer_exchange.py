"""Messages between instances over UDP, and documents fetched over HTTP."""

import asyncio
from typing import Any, cast

from attrs import define, field

from trefoilhinge.dispatch.admission.codec import (
    CallsWaiting,
    RunsAlive,
    WaitsEnded,
)
from trefoilhinge.dispatch.evacuations import DomainMark
from trefoilhinge.dispatch.fanout import list_hops
from trefoilhinge.dispatch.message_codec import (
    decode_message,
    encode_message,
)
from trefoilhinge.dispatch.messages import (
    CostsSummarised,
    InstanceLeft,
    Message,
    PermitMessage,
    RunEnded,
    RunFirstEvent,
    RunMessage,
    RunSent,
    RunStarted,
    ServicesUnreachable,
    TargetCrashed,
    TargetEjected,
    TargetLeaving,
    TargetOrdered,
    TargetRateNamed,
    TargetSlowdown,
    TraitQuarantined,
    TraitsCleared,
)
from trefoilhinge.dispatch.peers import Heartbeat
from trefoilhinge.dispatch.rate_limits import NamedRate
from trefoilhinge.dispatch.store_read_codec import StoreRead
from trefoilhinge.dispatch.targets import TargetRecord
from trefoilhinge.dispatch.warmup.codec import TargetCold
from trefoilhinge.gateway.admission.waiters import Admission
from trefoilhinge.gateway.cold_targets import ColdNews
from trefoilhinge.gateway.cost_exchange import list_summaries, take_summary
from trefoilhinge.gateway.evacuations import EvacuationNews
from trefoilhinge.gateway.peer_fetcher import (
    PeerFetcher,
    make_document_fetcher,
    make_targets_fetcher,
)
from trefoilhinge.gateway.permits import Permits
from trefoilhinge.gateway.quarantine import Quarantine
from trefoilhinge.gateway.reach import ReachMonitor
from trefoilhinge.gateway.run_records import end_run, remove_runs
from trefoilhinge.gateway.state import GatewayState
from trefoilhinge.gateway.store_reads import StoreReads

INITIAL_HEARTBEAT_INTERVAL_S = 0.1  # until the first peer answers
MAXIMUM_INITIAL_HEARTBEATS = 30
# Maximum duration of a run in its announcement to a new peer.
REANNOUNCED_RUN_S = 15.0
# Marks a message that the receiver relays within its failure domain. No
# MessagePack value begins with this byte.
RELAY_PREFIX = b'\xc1'


@define
class PeerExchange(asyncio.DatagramProtocol):
    """Sends messages to the other instances and applies theirs.

    :ivar permits: permits for requests to limited targets.
    :ivar quarantine: requests that are kept from all targets.
    :ivar reach: checks of whether this instance reaches targets.
    :ivar evacuations: news of evacuated failure domains.
    :ivar cold_targets: news of cold targets.
    :ivar admission: calls that wait here for capacity.
    :ivar store_reads: reads of the store that instances tell each other.
    """

    _state: GatewayState
    _transport: asyncio.DatagramTransport | None = None
    _heartbeats_sent: int = 0
    _broadcasts_sent: int = 0
    permits: Permits = field(init=False)
    quarantine: Quarantine = field(init=False)
    reach: ReachMonitor = field(init=False)
    evacuations: EvacuationNews = field(init=False)
    cold_targets: ColdNews = field(init=False)
    admission: Admission = field(init=False)
    store_reads: StoreReads = field(init=False)
    _document_fetcher: PeerFetcher = field(init=False)
    _targets_fetcher: PeerFetcher = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the parts that send messages of their own."""
        self.reach = ReachMonitor(self._state, self.broadcast)
        self.evacuations = EvacuationNews(
            self._state, self.broadcast, self.send_to_each
        )
        self.cold_targets = ColdNews(self._state, self.send_to_each)
        self.quarantine = Quarantine(
            self._state, self.broadcast, self.send_to_each
        )
        self.permits = Permits(
            self._state, self.send, self.quarantine.grant_probe
        )
        self.admission = Admission(self._state, self.broadcast)
        self._document_fetcher = make_document_fetcher(self._state)
        self._targets_fetcher = make_targets_fetcher(self._state)
        self.store_reads = StoreReads(
            self._state, self.send_to_each, self._document_fetcher.start
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the socket."""
        # In Python 3.11 the selector loop's datagram transport does not derive
        # from DatagramTransport, so isinstance would not narrow the type.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: tuple[Any, ...]) -> None:
        """Apply a message; log and drop one that cannot be decoded."""
        now_s = self._state.get_now_s()
        if data.startswith(RELAY_PREFIX):
            data = data[len(RELAY_PREFIX) :]
            self._relay_to_domain(data, now_s)
        decoded = decode_message(data, now_s)
        if decoded.is_error():
            self._state.log.write(
                'message_refused', peer=address[0], problem=decoded.error
            )
            return
        message = decoded.ok
        if isinstance(message, RunMessage):
            self._apply_message(message, now_s)
        else:
            self._apply_part_message(message, address[0])

    def send(self, message: Message, ip: str) -> None:
        """Send a message to one instance."""
        self._send(encode_message(message), ip)

    def broadcast(self, message: Message) -> None:
        """Send a message to all live instances, relayed between domains."""
        data = encode_message(message)
        state = self._state
        domains = state.peers.list_live_by_domain(state.get_now_s())
        self._broadcasts_sent += 1
        for hop in list_hops(
            domains, state.settings.failure_domain, self._broadcasts_sent
        ):
            self._send(RELAY_PREFIX + data if hop.is_relayed else data, hop.ip)

    def send_to_each(self, message: Message) -> None:
        """Send a message to each live instance directly.

        An instance that relays a message might fail before it does.
        """
        data = encode_message(message)
        for ip in self._state.peers.list_live(self._state.get_now_s()):
            self._send(data, ip)

    def broadcast_target_leaving(
        self, record: TargetRecord, revision: int
    ) -> None:
        """Announce that a target is leaving.

        The message is rare and must not be lost.

        :param revision: revision of the store that shows it.
        """
        self.send_to_each(
            TargetLeaving(record.name, record.started_ms, revision)
        )

    def announce_named_rate(self, named: NamedRate, *, is_new: bool) -> None:
        """Announce the limit of a target; a new one goes to each peer."""
        message = TargetRateNamed(named, self._state.get_now_s())
        if is_new:
            self.send_to_each(message)
        else:
            self.broadcast(message)

    def broadcast_target_ordered(self, name: str) -> None:
        """Announce a request to a limited target that belongs to no run."""
        self._state.permits.charge(name, None, self._state.get_now_s())
        self.broadcast(TargetOrdered(name))

    def announce_end(self) -> None:
        """Announce that this instance ends.

        The others need not wait until its heartbeats are missed, for instance
        for permits that it granted.
        """
        self.send_to_each(InstanceLeft(self._state.origin))

    def close(self) -> None:
        """Cancel pending fetches and close the socket."""
        self._document_fetcher.close()
        self._targets_fetcher.close()
        self.permits.close()
        self.quarantine.close()
        self.reach.close()
        self.admission.close()
        if self._transport is not None:
            self._transport.close()

    async def run_heartbeats(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.send_heartbeats()
            has_no_peers = not self._state.peers.peers
            is_initial = (
                has_no_peers
                and self._heartbeats_sent < MAXIMUM_INITIAL_HEARTBEATS
            )
            interval_s = self._state.peers.compute_heartbeat_interval_s()
            await asyncio.sleep(
                INITIAL_HEARTBEAT_INTERVAL_S if is_initial else interval_s
            )

    def send_heartbeats(self) -> None:
        """Send one heartbeat to each instance that may run.

        Runs of peers whose timeout has passed are removed.
        """
        self._heartbeats_sent += 1
        state = self._state
        now_s = state.get_now_s()
        heartbeat = self._make_heartbeat(now_s)
        self.broadcast(heartbeat)
        live_ips = set(state.peers.list_live(now_s))
        for ip in state.peers.list_heartbeat_receivers(
            state.settings.seeds, now_s
        ):
            if ip not in live_ips:
                self._send(encode_message(heartbeat), ip)
        for origin in state.peers.expire_silent(now_s):
            dropped = remove_runs(state, origin)
            state.log.write('peer_silent', origin=origin, runs=dropped)

    def _make_heartbeat(self, now_s: float) -> Heartbeat:
        state = self._state
        return Heartbeat(
            ip=state.settings.ip,
            origin=state.origin,
            failure_domain=state.settings.failure_domain,
            version=state.document.version if state.document else 0,
            revision=state.directory.revision,
            store_unreachable=(
                state.directory.outages.unreachable_since_s is not None
            ),
            known_peers=state.peers.list_gossiped(self._heartbeats_sent, now_s),
        )

    def _relay_to_domain(self, data: bytes, now_s: float) -> None:
        state = self._state
        domains = state.peers.list_live_by_domain(now_s)
        for ip in domains.get(state.settings.failure_domain, ()):
            self._send(data, ip)

    def _send(self, data: bytes, ip: str) -> None:
        if self._transport is not None:
            port = self._state.settings.first_port
            self._transport.sendto(data, (ip, port))

    def _apply_part_message(self, message: Message, ip: str) -> None:
        """Hand a message to the part that it belongs to."""
        match message:
            case DomainMark():
                self.evacuations.apply_message(message, ip)
            case TargetCold():
                self.cold_targets.apply_message(message, ip)
            case StoreRead():
                self.store_reads.apply_message(message, ip)
            case CostsSummarised():
                take_summary(self._state, message, ip)
            case CallsWaiting() | WaitsEnded() | RunsAlive():
                self.admission.apply_message(message)
            case TargetCrashed() | TraitQuarantined() | TraitsCleared():
                self.quarantine.apply_message(message, ip)
            case _:
                self.permits.apply_message(cast(PermitMessage, message), ip)

    def _apply_message(self, message: RunMessage, now_s: float) -> None:
        loads = self._state.loads
        match message:
            case Heartbeat():
                self._apply_heartbeat(message, now_s)
            case InstanceLeft(origin):
                self._state.instances.remove(origin.partition('/')[0])
                if self._state.peers.remove(origin):
                    remove_runs(self._state, origin)
                    self._state.log.write('peer_left', origin=origin)
            case RunStarted(run, maximum_duration_s):
                self._state.record_run(run, now_s + maximum_duration_s)
            case RunSent(origin, number):
                self._state.record_run_sent((origin, number))
            case RunFirstEvent(origin, number):
                loads.record_first_event((origin, number), now_s)
                self._state.prefill_waiters.notify_all()
            case RunEnded(origin, number):
                end_run(self._state, (origin, number))
            case TargetEjected(name, duration_s):
                self._state.health.eject(name, duration_s, now_s)
            case TargetSlowdown(name, slowdown):
                self._state.slowdowns.apply_report(name, slowdown, now_s)
            case ServicesUnreachable():
                self.reach.apply_message(message)
            case TargetLeaving():
                self._apply_target_leaving(message)

    def _apply_target_leaving(self, message: TargetLeaving) -> None:
        if self._state.directory.mark_reported(
            (message.name, message.started_ms), message.revision
        ):
            self._state.log.write(
                'target_left',
                target=message.name,
                source='peer',
                revision=message.revision,
            )

    def _introduce(self, ip: str, now_s: float) -> None:
        """Tell a new peer what it cannot read from the store."""
        state = self._state
        self._send(encode_message(self._make_heartbeat(now_s)), ip)
        for run in state.loads.list_by_origin(state.origin):
            announcement = RunStarted(run, REANNOUNCED_RUN_S)
            self._send(encode_message(announcement), ip)
        # A store restored from a copy may list a departed target as ready.
        for record, departure in state.directory.list_departed():
            message = TargetLeaving(
                record.name, record.started_ms, departure.revision
            )
            self.send(message, ip)
        for mark in state.directory.evacuations.list_known():
            self.send(mark, ip)
        for cold in self.cold_targets.list_announcements():
            self.send(cold, ip)
        for named in state.rate_limits.list_limits():
            self.send(TargetRateNamed(named, now_s), ip)
        for entry in self.quarantine.list_announcements():
            self.send(entry, ip)
        for summary in list_summaries(state):
            self.send(summary, ip)
        self.admission.announce_to(lambda message: self.send(message, ip))

    def _apply_heartbeat(self, heartbeat: Heartbeat, now_s: float) -> None:
        state = self._state
        if heartbeat.ip == state.settings.ip:
            return
        for ip in (heartbeat.ip, *heartbeat.known_peers):
            state.instances.record(ip, now_s)
        result = state.peers.record_heartbeat(heartbeat, now_s)
        if result.replaced_origin:
            remove_runs(state, result.replaced_origin)
        if result.is_new:
            state.log.write(
                'peer_heard', peer=heartbeat.ip, origin=heartbeat.origin
            )
            self._introduce(heartbeat.ip, now_s)
        self._document_fetcher.start()
        self._targets_fetcher.start()
