"""Words between instances: datagrams, and documents fetched over TCP."""

import asyncio
from typing import Any, cast

from attrs import define, field

from trefoilhinge.dispatch.loads import Run
from trefoilhinge.dispatch.messages import (
    Message,
    RunEnded,
    RunSent,
    RunStarted,
    RunWrites,
    TargetAvoided,
    TargetLeaves,
    TargetPaced,
    decode_message,
    encode_message,
)
from trefoilhinge.dispatch.peers import Word
from trefoilhinge.dispatch.spreading import list_hops
from trefoilhinge.dispatch.targets import TargetRecord
from trefoilhinge.gateway.state import Beliefs
from trefoilhinge.gateway.replication import (
    DOCUMENT_PATH,
    TARGETS_PATH,
    take_targets,
)
from trefoilhinge.gateway.http_client import FetchFailed, fetch

FIRST_PAUSE_S = 0.1  # until another instance was heard
FIRST_WORDS = 30  # sent at that pace at the most
FETCH_TIMEOUT_S = 2.0
RUN_RETOLD_S = 15.0  # longest time that a retold run may last
HAND_ON = b'\xc1'  # before a message to hand on; no MessagePack begins so


@define
class PeerExchange(asyncio.DatagramProtocol):
    """Tells the other instances what this one does, and hears them."""

    _beliefs: Beliefs
    _transport: asyncio.DatagramTransport | None = None
    _words: int = 0
    _told: int = 0
    _fetching: set[str] = field(factory=set)
    _tasks: set[asyncio.Task[None]] = field(factory=set)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the socket."""
        # The selector loop's datagram transport is no such subclass in 3.11.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: tuple[Any, ...]) -> None:
        """Take a message; one that cannot be read is logged and skipped."""
        now_s = self._beliefs.get_now_s()
        if data.startswith(HAND_ON):
            data = data[len(HAND_ON) :]
            self._hand_on(data, now_s)
        decoded = decode_message(data, now_s)
        if decoded.is_error():
            self._beliefs.log.write(
                'message_refused', peer=address[0], problem=decoded.error
            )
            return
        self._take(decoded.ok, now_s)

    def tell_start(self, run: Run, lasts_s: float) -> None:
        """Tell that a run was sent."""
        self._tell(RunStarted(run, lasts_s))

    def tell_sent(self, run: Run) -> None:
        """Tell that a run that waited was sent."""
        self._tell(RunSent(run.origin, run.number))

    def tell_writes(self, run: Run) -> None:
        """Tell that a run's first event came."""
        self._tell(RunWrites(run.origin, run.number))

    def tell_end(self, run: Run) -> None:
        """Tell that a run ended."""
        self._tell(RunEnded(run.origin, run.number))

    def tell_leaving(self, record: TargetRecord) -> None:
        """Tell that a target leaves."""
        message = TargetLeaves(record.name, record.born_ms, record.revision)
        now_s = self._beliefs.get_now_s()
        # Rare, and too important to be handed on by an instance that may die.
        for ip in self._beliefs.peers.list_listeners(now_s):
            self._send(encode_message(message), ip)

    def close(self) -> None:
        """Close the socket."""
        for task in self._tasks:
            task.cancel()
        if self._transport is not None:
            self._transport.close()

    def tell_avoided(self, name: str, duration_s: float) -> None:
        """Tell that a target is to be avoided for a while."""
        self._tell(TargetAvoided(name, duration_s))

    def tell_pace(self, name: str, pace: float) -> None:
        """Tell how slow a target was seen to be."""
        self._tell(TargetPaced(name, pace))

    async def speak(self) -> None:
        """Send this instance's word to all instances, for ever."""
        while True:
            self.send_words()
            alone = not self._beliefs.peers.peers
            early = alone and self._words < FIRST_WORDS
            pause_s = self._beliefs.peers.find_word_pause_s()
            await asyncio.sleep(FIRST_PAUSE_S if early else pause_s)

    def send_words(self) -> None:
        """Send one word to each instance that may run."""
        self._words += 1
        beliefs = self._beliefs
        now_s = beliefs.get_now_s()
        word = self._make_word(now_s)
        self._tell(word)
        heard = set(beliefs.peers.list_listeners(now_s))
        for ip in beliefs.peers.list_greeted(beliefs.settings.seeds, now_s):
            if ip not in heard:
                self._send(encode_message(word), ip)
        for origin in beliefs.peers.drop_silent(now_s):
            dropped = beliefs.loads.forget_origin(origin, now_s)
            beliefs.log.write('peer_silent', origin=origin, runs=dropped)

    def _make_word(self, now_s: float) -> Word:
        beliefs = self._beliefs
        return Word(
            ip=beliefs.settings.ip,
            origin=beliefs.origin,
            failure_domain=beliefs.settings.failure_domain,
            version=beliefs.document.version if beliefs.document else 0,
            revision=beliefs.directory.revision,
            is_away=beliefs.directory.away_since_s is not None,
            known=beliefs.peers.list_named(self._words, now_s),
        )

    def _tell(self, message: Message) -> None:
        data = encode_message(message)
        beliefs = self._beliefs
        domains = beliefs.peers.list_domains(beliefs.get_now_s())
        self._told += 1
        for hop in list_hops(
            domains, beliefs.settings.failure_domain, self._told
        ):
            self._send(HAND_ON + data if hop.hands_on else data, hop.ip)

    def _hand_on(self, data: bytes, now_s: float) -> None:
        beliefs = self._beliefs
        domains = beliefs.peers.list_domains(now_s)
        for ip in domains.get(beliefs.settings.failure_domain, ()):
            self._send(data, ip)

    def _send(self, data: bytes, ip: str) -> None:
        if self._transport is not None:
            port = self._beliefs.settings.first_port
            self._transport.sendto(data, (ip, port))

    def _take(self, message: Message, now_s: float) -> None:
        loads = self._beliefs.loads
        match message:
            case Word():
                self._take_word(message, now_s)
            case RunStarted(run, lasts_s):
                loads.start(run, now_s + lasts_s, now_s)
            case RunSent(origin, number):
                loads.note_sent((origin, number), now_s)
            case RunWrites(origin, number):
                loads.note_first_event((origin, number), now_s)
                self._beliefs.turns.note_news()
            case RunEnded(origin, number):
                loads.end((origin, number), now_s)
                self._beliefs.turns.note_news()
            case TargetAvoided(name, duration_s):
                self._beliefs.health.avoid(name, duration_s, now_s)
            case TargetPaced(name, pace):
                self._beliefs.paces.take(name, pace, now_s)
            case TargetLeaves():
                self._take_leaving(message)

    def _take_leaving(self, message: TargetLeaves) -> None:
        directory = self._beliefs.directory
        record = directory.records.get(message.name)
        known = record is not None and record.born_ms == message.born_ms
        if known and record is not None and directory.note_left(record):
            self._beliefs.log.write(
                'target_left',
                target=message.name,
                source='peer',
                revision=message.revision,
            )

    def _take_word(self, word: Word, now_s: float) -> None:
        beliefs = self._beliefs
        if word.ip == beliefs.settings.ip:
            return
        hearing = beliefs.peers.hear(word, now_s)
        if hearing.ended_origin:
            beliefs.loads.forget_origin(hearing.ended_origin, now_s)
        if hearing.is_new:
            beliefs.log.write('peer_heard', peer=word.ip, origin=word.origin)
            self._send(encode_message(self._make_word(now_s)), word.ip)
            for run in beliefs.loads.list_own(beliefs.origin):
                told = RunStarted(run, RUN_RETOLD_S)
                self._send(encode_message(told), word.ip)
        version = beliefs.document.version if beliefs.document else 0
        if word.version > version:
            self._start_fetch(word.ip, DOCUMENT_PATH)
        directory = beliefs.directory
        alone = directory.away_since_s is not None or not directory.revision
        if alone and word.revision > directory.revision:
            self._start_fetch(word.ip, TARGETS_PATH)

    def _start_fetch(self, ip: str, path: str) -> None:
        if path in self._fetching:
            return
        self._fetching.add(path)
        task = asyncio.ensure_future(self._fetch(ip, path))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _fetch(self, ip: str, path: str) -> None:
        beliefs = self._beliefs
        address = (ip, beliefs.settings.first_port)
        try:
            fetched = await fetch(address, path, FETCH_TIMEOUT_S)
        except FetchFailed as problem:
            beliefs.log.write(
                'peer_fetch_failed', peer=ip, path=path, problem=problem
            )
            return
        finally:
            self._fetching.discard(path)
        if path == DOCUMENT_PATH:
            beliefs.accept_document(fetched.content, f'peer {ip}')
            return
        taken = take_targets(beliefs, fetched.content)
        if taken.is_error():
            beliefs.log.write(
                'peer_fetch_failed', peer=ip, path=path, problem=taken.error
            )
