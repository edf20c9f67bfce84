"""A fake model engine: continuous batching in limited memory.

It keeps its own record of runs and of held memory, so that a checker need not
take a core's word.
"""

from collections import OrderedDict
from collections.abc import Callable

from attrs import define, evolve, field

from trefoilhinge.core.identifiers import ReservationTag, StreamId, TargetName
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.core.reports import (
    CacheEvent,
    EngineState,
    LoadReport,
    Reservation,
    StreamState,
)
from trefoilhinge.core.sse import DONE_DATA, StreamEvent
from trefoilhinge.standins.simulation.scheduler import Simulation

Listener = Callable[[StreamEvent], None]
BLOCK_TOKENS = 512


@define
class EngineSpeeds:
    """Speeds and sizes of one engine.

    :ivar step_s: seconds of one step that only decodes.
    :ivar step_per_stream_s: seconds added by each decoding stream.
    :ivar chunk_tokens: prompt tokens that one step prefills at most.
    """

    prefill_tokens_per_s: float = 20_000
    step_s: float = 0.012
    step_per_stream_s: float = 0.0002
    chunk_tokens: int = 512
    memory_tokens: int = 450_000
    cache_tokens: int = 200_000
    maximum_running: int = 64


@define
class FakeStream:
    """One stream at an engine.

    :ivar prefill_left: prompt tokens that are not yet prefilled.
    :ivar produced: events produced, the finish marker included.
    """

    stream_id: StreamId
    profile: CallProfile
    priority: int
    prefill_left: int
    memory: int
    arrived_s: float
    listener: Listener | None
    produced: int = 0
    data: list[str] = field(factory=list)
    finished: bool = False
    cancelled: bool = False


@define
class _Jump:
    """Equal steps that an engine takes in one go.

    :ivar started_s: time at which the first of them began.
    :ivar prefilling: streams with the prompt tokens each takes a step.
    """

    started_s: float
    step_s: float
    steps: int
    decoding: list[FakeStream]
    prefilling: list[tuple[FakeStream, int]]


@define
class FakeEngine:
    """One engine on simulated time.

    :ivar runs: how often each request was started, by request.
    :ivar keeps_text: whether events are kept so that streams can be resumed.
    :ivar quiet: whether only the first and the last event of a stream reach
        its listener; many steps are then taken in one go.
    :ivar gaps: count of gaps between tokens, by their seconds.
    """

    name: TargetName
    _simulation: Simulation
    speeds: EngineSpeeds = field(factory=EngineSpeeds)
    honours_fences: bool = True
    keeps_text: bool = True
    quiet: bool = False
    gaps: dict[float, int] = field(factory=dict)
    incarnation: int = 1
    leaving: bool = False
    dead: bool = False
    fence: int = 0
    model: str = ''
    version: str = ''
    adapters: tuple[str, ...] = ()
    role: str = 'both'
    runs: dict[str, int] = field(factory=dict)
    streams: dict[StreamId, FakeStream] = field(factory=dict)
    voided: set[StreamId] = field(factory=set)
    waiting: list[FakeStream] = field(factory=list)
    running: list[FakeStream] = field(factory=list)
    holdings: dict[ReservationTag, Reservation] = field(factory=dict)
    cache: OrderedDict[int, None] = field(factory=OrderedDict)
    cache_events: list[CacheEvent] = field(factory=list)
    prefilled_tokens: int = 0
    cached_tokens: int = 0
    _stepping: bool = False
    _jump: _Jump | None = None

    def start(
        self,
        stream_id: StreamId,
        profile: CallProfile,
        priority: int,
        listener: Listener,
        tag: ReservationTag | None = None,
    ) -> bool:
        """Start a stream; false proves that it was refused before start."""
        if self.leaving or stream_id in self.voided:
            return False
        if stream_id in self.streams:
            return False
        if tag is not None and tag not in self.holdings:
            return False
        request = str(profile.request_id)
        self.runs[request] = self.runs.get(request, 0) + 1
        cached = 0 if tag else self._use_cache(profile)
        prompt = 1 if tag else max(1, profile.prompt_tokens - cached)
        # What a group reserved under the tag holds prompt and output.
        memory = 0 if tag else profile.total_tokens
        stream = FakeStream(
            stream_id,
            profile,
            priority,
            prompt,
            memory,
            self._simulation.now_s,
            listener,
        )
        self.streams[stream_id] = stream
        self.waiting.append(stream)
        self._wake()
        return True

    def find_state(self, stream_id: StreamId) -> tuple[StreamState, int]:
        """Return where a stream stands and how many events it produced."""
        self._catch_up()
        stream = self.streams.get(stream_id)
        if stream is None:
            if stream_id in self.voided:
                return StreamState.NEVER_STARTED, 0
            return StreamState.UNKNOWN, 0
        if stream.cancelled:
            return StreamState.UNKNOWN, stream.produced
        if stream.finished:
            return StreamState.FINISHED, stream.produced
        return StreamState.RUNNING, stream.produced

    def resume(
        self,
        stream_id: StreamId,
        offset: int,
        listener: Listener,
    ) -> bool:
        """Hand a stream's events from an offset to a new listener."""
        stream = self.streams.get(stream_id)
        if stream is None or stream.cancelled:
            return False
        stream.listener = listener
        for number, data in enumerate(stream.data[offset:], offset):
            listener(StreamEvent(stream_id, number, data))
        return True

    def void(self, stream_id: StreamId) -> tuple[StreamState, int]:
        """Cancel a stream, or make sure that it never starts."""
        stream = self.streams.get(stream_id)
        self.voided.add(stream_id)
        if stream is None:
            return StreamState.NEVER_STARTED, 0
        if not stream.finished:
            self._interrupt()
            stream.cancelled = True
            self._drop(stream)
        return self.find_state(stream_id)

    def lose_stream(self, stream_id: StreamId) -> None:
        """Fail a stream whose KV is gone."""
        stream = self.streams.get(stream_id)
        if stream is not None and not stream.finished:
            stream.cancelled = True
            self._drop(stream)

    def restart(self) -> None:
        """Lose everything, as a crash does, and come back empty."""
        self.incarnation += 1
        self._jump = None
        self._stepping = False
        for stream in (*self.waiting, *self.running):
            stream.cancelled = True
        self.streams.clear()
        self.waiting.clear()
        self.running.clear()
        self.holdings.clear()
        self.cache.clear()
        self.leaving = False

    def hold(self, holding: Reservation) -> bool:
        """Reserve memory under a tag; false if there is not enough."""
        if holding.tag in self.holdings:
            return True
        if holding.tokens > self.count_free():
            return False
        self.holdings[holding.tag] = holding
        return True

    def release(self, tag: ReservationTag) -> None:
        """Free what is held under a tag; harmless when repeated."""
        self.holdings.pop(tag, None)
        self._wake()

    def order(
        self,
        fence: int,
        model: str,
        version: str,
        adapters: tuple[str, ...],
        role: str,
    ) -> bool:
        """Take an order, unless its fencing number is old."""
        if self.honours_fences and fence <= self.fence:
            return False
        self.fence = max(fence, self.fence)
        self.model = model
        self.version = version
        self.adapters = adapters
        self.role = role
        return True

    def count_free(self) -> int:
        """Return the free memory, in tokens."""
        used = sum(one.memory for one in self.running)
        held = sum(one.tokens for one in self.holdings.values())
        return self.speeds.memory_tokens - used - held

    def report_load(self) -> LoadReport:
        """Return the load at this moment."""
        self._catch_up()
        queued = sum(one.prefill_left for one in self.waiting)
        queued += sum(one.prefill_left for one in self.running)
        return LoadReport(
            self.name,
            queued,
            len(self.running) + len(self.waiting),
            self.count_free(),
            0,
            self.leaving,
            self.incarnation,
        )

    def report_state(self) -> EngineState:
        """Return what the engine runs and holds."""
        return EngineState(
            self.name,
            self.fence,
            self.model,
            self.version,
            self.adapters,
            self.role,
            not self.leaving,
            tuple(self.holdings.values()),
        )

    def _use_cache(self, profile: CallProfile) -> int:
        blocks = 0
        matching = True
        for digest in profile.prefix_digests:
            matching = matching and digest in self.cache
            blocks += matching
            self._store(digest)
        cached = min(blocks * BLOCK_TOKENS, profile.prompt_tokens - 1)
        self.cached_tokens += cached
        return cached

    def _store(self, digest: int) -> None:
        known = digest in self.cache
        self.cache[digest] = None
        self.cache.move_to_end(digest)
        if not known:
            self._note_cache(digest, stored=True)
        if len(self.cache) * BLOCK_TOKENS > self.speeds.cache_tokens:
            old, _ = self.cache.popitem(last=False)
            self._note_cache(old, stored=False)

    def _note_cache(self, digest: int, *, stored: bool) -> None:
        number = len(self.cache_events) + 1
        self.cache_events.append(CacheEvent(number, digest, stored))

    def _wake(self) -> None:
        self._interrupt()
        if not self._stepping and not self.dead:
            self._stepping = True
            self._simulation.schedule(0, self._step)

    def _step(self) -> None:
        if self.dead:
            self._stepping = False
            return
        self._admit()
        if not self.running:
            self._stepping = False
            return
        self._begin(self._plan())

    def _plan(self) -> _Jump:
        prefilling = self._share_chunk()
        finishing = {
            one.stream_id
            for one, taken in prefilling
            if taken == one.prefill_left
        }
        decoding = [
            one
            for one in self.running
            if one.prefill_left == 0 or one.stream_id in finishing
        ]
        duration_s = self.speeds.step_s
        prefilled = sum(taken for _, taken in prefilling)
        duration_s += prefilled / self.speeds.prefill_tokens_per_s
        duration_s += len(decoding) * self.speeds.step_per_stream_s
        steps = self._count_equal_steps(prefilling, decoding)
        return _Jump(
            self._simulation.now_s,
            duration_s,
            steps,
            decoding,
            prefilling,
        )

    def _count_equal_steps(
        self,
        prefilling: list[tuple[FakeStream, int]],
        decoding: list[FakeStream],
    ) -> int:
        if len(prefilling) > 1 or (decoding and not self.quiet):
            return 1
        counts = [
            one.profile.output_tokens - one.produced if one.produced else 1
            for one in decoding
        ]
        counts.extend(
            (one.prefill_left - 1) // taken for one, taken in prefilling
        )
        return max(1, min(counts, default=1))

    def _begin(self, jump: _Jump) -> None:
        self._jump = jump
        end_s = jump.started_s + jump.steps * jump.step_s
        self._simulation.schedule(
            max(0, end_s - self._simulation.now_s),
            lambda: self._end_jump(jump),
        )

    def _catch_up(self) -> None:
        """Take the steps of the present jump that lie in the past."""
        jump = self._jump
        if jump is None or jump.steps == 1:
            return
        passed = (self._simulation.now_s - jump.started_s) / jump.step_s
        done = min(int(passed), jump.steps - 1)
        if done:
            self._advance(jump, done)
            jump.started_s += done * jump.step_s
            jump.steps -= done

    def _interrupt(self) -> None:
        """End the present jump with the step that is running."""
        self._catch_up()
        jump = self._jump
        if jump is not None and jump.steps > 1:
            self._begin(evolve(jump, steps=1))

    def _advance(self, jump: _Jump, steps: int) -> None:
        for stream, taken in jump.prefilling:
            stream.prefill_left -= taken * steps
            self.prefilled_tokens += taken * steps
        flowing = 0
        for one in jump.decoding:
            if one.cancelled:
                continue
            flowing += one.produced > 0
            if self.quiet and steps > 1:
                one.produced += steps
            else:
                self._produce_several(one, steps)
        if flowing:
            gap_s = round(jump.step_s, 4)
            self.gaps[gap_s] = self.gaps.get(gap_s, 0) + flowing * steps

    def _end_jump(self, jump: _Jump) -> None:
        if jump is not self._jump:
            return
        self._jump = None
        if not self.dead:
            self._advance(jump, jump.steps)
        self._step()

    def _produce_several(self, stream: FakeStream, steps: int) -> None:
        for _ in range(steps):
            self._produce(stream)

    def _admit(self) -> None:
        self.waiting.sort(key=lambda one: (-one.priority, one.arrived_s))
        free = self.count_free()
        for stream in tuple(self.waiting):
            if len(self.running) >= self.speeds.maximum_running:
                return
            if stream.memory <= free:
                free -= stream.memory
                self.waiting.remove(stream)
                self.running.append(stream)

    def _share_chunk(self) -> list[tuple[FakeStream, int]]:
        left = self.speeds.chunk_tokens
        queue = [one for one in self.running if one.prefill_left]
        queue.sort(key=lambda one: (-one.priority, one.arrived_s))
        shares = []
        for stream in queue:
            taken = min(left, stream.prefill_left)
            shares.append((stream, taken))
            left -= taken
            if not left:
                break
        return shares

    def _produce(self, stream: FakeStream) -> None:
        last = stream.produced >= max(1, stream.profile.output_tokens)
        data = DONE_DATA if last else f'{stream.stream_id}#{stream.produced}'
        event = StreamEvent(stream.stream_id, stream.produced, data)
        stream.produced += 1
        if self.keeps_text:
            stream.data.append(data)
        if last:
            stream.finished = True
            self._drop(stream)
        told = not self.quiet or last or event.offset == 0
        if told and stream.listener is not None:
            stream.listener(event)

    def _drop(self, stream: FakeStream) -> None:
        if stream in self.running:
            self.running.remove(stream)
        if stream in self.waiting:
            self.waiting.remove(stream)
        if not self.keeps_text:
            self.streams.pop(stream.stream_id, None)
        self._wake()
