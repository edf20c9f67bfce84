"""A fake model engine: continuous batching in limited memory.

It records runs and reserved memory itself, so that invariants can be checked
independently of a node's core.
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
    """Speed and capacity of one engine.

    :ivar step_s: base duration of a step, in seconds.
    :ivar step_per_stream_s: duration added by each decoding stream, in
        seconds.
    :ivar chunk_tokens: maximum number of prompt tokens prefilled in one step.
    :ivar memory_tokens: capacity of the KV memory, in tokens.
    :ivar cache_tokens: capacity of the prefix cache, in tokens, in addition to
        the KV memory.
    :ivar maximum_running: maximum number of streams in the running batch.
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
    """One stream on an engine.

    :ivar prefill_tokens_left: prompt tokens that are not prefilled yet.
    :ivar memory_tokens: KV memory used while it runs, in tokens.
    :ivar produced: number of events produced, including the finish marker.
    """

    stream_id: StreamId
    profile: CallProfile
    priority: int
    prefill_tokens_left: int
    memory_tokens: int
    arrived_s: float
    listener: Listener | None
    produced: int = 0
    data: list[str] = field(factory=list)
    finished: bool = False
    cancelled: bool = False


@define
class _StepRun:
    """A run of equal steps, simulated as a single event.

    :ivar started_s: start of the first step, in simulated seconds.
    :ivar step_s: duration of one step, in seconds.
    :ivar steps: number of steps.
    :ivar prefilling: streams with the prompt tokens prefilled in each step.
    """

    started_s: float
    step_s: float
    steps: int
    decoding: list[FakeStream]
    prefilling: list[tuple[FakeStream, int]]


@define
class FakeEngine:
    """One engine on simulated time.

    :ivar honours_fences: whether orders whose fencing token is not newer
        than the last accepted one are refused.
    :ivar retains_events: whether events are kept so that streams can be
        resumed.
    :ivar skips_events: whether only the first and the last event of a stream
        are delivered; equal steps are then simulated as a single event.
    :ivar inter_token_gaps: number of gaps between tokens by their duration in
        seconds.
    :ivar runs: number of starts by request.
    :ivar cancelled_ids: streams that were cancelled, started or not.
    :ivar reservations: memory reserved outside of running streams, by tag.
    :ivar cache: digests of the cached blocks, least recently used first.
    :ivar prefilled_tokens: number of prompt tokens prefilled so far.
    :ivar cached_tokens: number of prompt tokens found in the cache so far.
    """

    name: TargetName
    _simulation: Simulation
    speeds: EngineSpeeds = field(factory=EngineSpeeds)
    honours_fences: bool = True
    retains_events: bool = True
    skips_events: bool = False
    inter_token_gaps: dict[float, int] = field(factory=dict)
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
    cancelled_ids: set[StreamId] = field(factory=set)
    waiting: list[FakeStream] = field(factory=list)
    running: list[FakeStream] = field(factory=list)
    reservations: dict[ReservationTag, Reservation] = field(factory=dict)
    cache: OrderedDict[int, None] = field(factory=OrderedDict)
    cache_events: list[CacheEvent] = field(factory=list)
    prefilled_tokens: int = 0
    cached_tokens: int = 0
    _stepping: bool = False
    _step_run: _StepRun | None = None

    def start(
        self,
        stream_id: StreamId,
        profile: CallProfile,
        priority: int,
        listener: Listener,
        tag: ReservationTag | None = None,
    ) -> bool:
        """Start a stream; false if it was refused before it started."""
        if self.leaving or stream_id in self.cancelled_ids:
            return False
        if stream_id in self.streams:
            return False
        if tag is not None and tag not in self.reservations:
            return False
        request = str(profile.request_id)
        self.runs[request] = self.runs.get(request, 0) + 1
        cached = 0 if tag else self._match_prefix(profile)
        prompt = 1 if tag else max(1, profile.prompt_tokens - cached)
        # A group's reservation under the tag holds both prompt and output.
        memory_tokens = 0 if tag else profile.total_tokens
        stream = FakeStream(
            stream_id,
            profile,
            priority,
            prompt,
            memory_tokens,
            self._simulation.now_s,
            listener,
        )
        self.streams[stream_id] = stream
        self.waiting.append(stream)
        self._ensure_stepping()
        return True

    def find_state(self, stream_id: StreamId) -> tuple[StreamState, int]:
        """Return a stream's state and the number of events it produced."""
        self._apply_elapsed_steps()
        stream = self.streams.get(stream_id)
        if stream is None:
            if stream_id in self.cancelled_ids:
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
        """Redeliver a stream's events from an offset to a new listener."""
        stream = self.streams.get(stream_id)
        if stream is None or stream.cancelled:
            return False
        stream.listener = listener
        for number, data in enumerate(stream.data[offset:], offset):
            listener(StreamEvent(stream_id, number, data))
        return True

    def cancel_stream(self, stream_id: StreamId) -> tuple[StreamState, int]:
        """Cancel a stream, or prevent it from ever starting."""
        stream = self.streams.get(stream_id)
        self.cancelled_ids.add(stream_id)
        if stream is None:
            return StreamState.NEVER_STARTED, 0
        if not stream.finished:
            self._end_step_run_early()
            stream.cancelled = True
            self._remove_stream(stream)
        return self.find_state(stream_id)

    def fail_stream(self, stream_id: StreamId) -> None:
        """Fail a stream whose KV was lost."""
        stream = self.streams.get(stream_id)
        if stream is not None and not stream.finished:
            stream.cancelled = True
            self._remove_stream(stream)

    def restart(self) -> None:
        """Restart with an empty state, as after a crash."""
        self.incarnation += 1
        self._step_run = None
        self._stepping = False
        for stream in (*self.waiting, *self.running):
            stream.cancelled = True
        self.streams.clear()
        self.waiting.clear()
        self.running.clear()
        self.reservations.clear()
        self.cache.clear()
        self.leaving = False

    def reserve(self, reservation: Reservation) -> bool:
        """Reserve memory under a tag; false if there is not enough free."""
        if reservation.tag in self.reservations:
            return True
        if reservation.tokens > self.count_free_tokens():
            return False
        self.reservations[reservation.tag] = reservation
        return True

    def release(self, tag: ReservationTag) -> None:
        """Free the memory reserved under a tag; idempotent."""
        self.reservations.pop(tag, None)
        self._ensure_stepping()

    def apply_order(
        self,
        fence: int,
        model: str,
        version: str,
        adapters: tuple[str, ...],
        role: str,
    ) -> bool:
        """Apply an order unless its fencing token is out of date."""
        if self.honours_fences and fence <= self.fence:
            return False
        self.fence = max(fence, self.fence)
        self.model = model
        self.version = version
        self.adapters = adapters
        self.role = role
        return True

    def count_free_tokens(self) -> int:
        """Return the number of free tokens of memory."""
        used = sum(one.memory_tokens for one in self.running)
        reserved = sum(one.tokens for one in self.reservations.values())
        return self.speeds.memory_tokens - used - reserved

    def report_load(self) -> LoadReport:
        """Return the current load."""
        self._apply_elapsed_steps()
        queued = sum(one.prefill_tokens_left for one in self.waiting)
        queued += sum(one.prefill_tokens_left for one in self.running)
        return LoadReport(
            self.name,
            queued,
            len(self.running) + len(self.waiting),
            self.count_free_tokens(),
            0,
            self.leaving,
            self.incarnation,
        )

    def report_state(self) -> EngineState:
        """Return the engine's software and its reservations."""
        return EngineState(
            self.name,
            self.fence,
            self.model,
            self.version,
            self.adapters,
            self.role,
            not self.leaving,
            tuple(self.reservations.values()),
        )

    def _match_prefix(self, profile: CallProfile) -> int:
        blocks = 0
        matching = True
        for digest in profile.prefix_digests:
            matching = matching and digest in self.cache
            blocks += matching
            self._cache_block(digest)
        cached = min(blocks * BLOCK_TOKENS, profile.prompt_tokens - 1)
        self.cached_tokens += cached
        return cached

    def _cache_block(self, digest: int) -> None:
        is_cached = digest in self.cache
        self.cache[digest] = None
        self.cache.move_to_end(digest)
        if not is_cached:
            self._record_cache_event(digest, stored=True)
        if len(self.cache) * BLOCK_TOKENS > self.speeds.cache_tokens:
            evicted, _ = self.cache.popitem(last=False)
            self._record_cache_event(evicted, stored=False)

    def _record_cache_event(self, digest: int, *, stored: bool) -> None:
        number = len(self.cache_events) + 1
        self.cache_events.append(CacheEvent(number, digest, stored))

    def _ensure_stepping(self) -> None:
        self._end_step_run_early()
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
        self._schedule_end(self._plan_steps())

    def _plan_steps(self) -> _StepRun:
        prefilling = self._share_chunk_tokens()
        finishing = {
            one.stream_id
            for one, taken in prefilling
            if taken == one.prefill_tokens_left
        }
        decoding = [
            one
            for one in self.running
            if one.prefill_tokens_left == 0 or one.stream_id in finishing
        ]
        duration_s = self.speeds.step_s
        prefilled = sum(taken for _, taken in prefilling)
        duration_s += prefilled / self.speeds.prefill_tokens_per_s
        duration_s += len(decoding) * self.speeds.step_per_stream_s
        steps = self._count_equal_steps(prefilling, decoding)
        return _StepRun(
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
        if len(prefilling) > 1 or (decoding and not self.skips_events):
            return 1
        counts = [
            one.profile.output_tokens - one.produced if one.produced else 1
            for one in decoding
        ]
        counts.extend(
            (one.prefill_tokens_left - 1) // taken for one, taken in prefilling
        )
        return max(1, min(counts, default=1))

    def _schedule_end(self, step_run: _StepRun) -> None:
        self._step_run = step_run
        end_s = step_run.started_s + step_run.steps * step_run.step_s
        self._simulation.schedule(
            max(0, end_s - self._simulation.now_s),
            lambda: self._end_step_run(step_run),
        )

    def _apply_elapsed_steps(self) -> None:
        """Apply the steps of the current run that have already passed."""
        step_run = self._step_run
        if step_run is None or step_run.steps == 1:
            return
        elapsed_steps = (
            self._simulation.now_s - step_run.started_s
        ) / step_run.step_s
        done = min(int(elapsed_steps), step_run.steps - 1)
        if done:
            self._advance(step_run, done)
            step_run.started_s += done * step_run.step_s
            step_run.steps -= done

    def _end_step_run_early(self) -> None:
        """Shorten the current run to end with the step in progress."""
        self._apply_elapsed_steps()
        step_run = self._step_run
        if step_run is not None and step_run.steps > 1:
            self._schedule_end(evolve(step_run, steps=1))

    def _advance(self, step_run: _StepRun, steps: int) -> None:
        for stream, taken in step_run.prefilling:
            stream.prefill_tokens_left -= taken * steps
            self.prefilled_tokens += taken * steps
        streaming = 0
        for one in step_run.decoding:
            if one.cancelled:
                continue
            streaming += one.produced > 0
            if self.skips_events and steps > 1:
                one.produced += steps
            else:
                self._produce_events(one, steps)
        if streaming:
            gap_s = round(step_run.step_s, 4)
            self.inter_token_gaps[gap_s] = (
                self.inter_token_gaps.get(gap_s, 0) + streaming * steps
            )

    def _end_step_run(self, step_run: _StepRun) -> None:
        if step_run is not self._step_run:
            return
        self._step_run = None
        if not self.dead:
            self._advance(step_run, step_run.steps)
        self._step()

    def _produce_events(self, stream: FakeStream, steps: int) -> None:
        for _ in range(steps):
            self._produce_event(stream)

    def _admit(self) -> None:
        self.waiting.sort(key=lambda one: (-one.priority, one.arrived_s))
        free = self.count_free_tokens()
        for stream in tuple(self.waiting):
            if len(self.running) >= self.speeds.maximum_running:
                return
            if stream.memory_tokens <= free:
                free -= stream.memory_tokens
                self.waiting.remove(stream)
                self.running.append(stream)

    def _share_chunk_tokens(self) -> list[tuple[FakeStream, int]]:
        left = self.speeds.chunk_tokens
        queue = [one for one in self.running if one.prefill_tokens_left]
        queue.sort(key=lambda one: (-one.priority, one.arrived_s))
        shares = []
        for stream in queue:
            taken = min(left, stream.prefill_tokens_left)
            shares.append((stream, taken))
            left -= taken
            if not left:
                break
        return shares

    def _produce_event(self, stream: FakeStream) -> None:
        last = stream.produced >= max(1, stream.profile.output_tokens)
        data = DONE_DATA if last else f'{stream.stream_id}#{stream.produced}'
        event = StreamEvent(stream.stream_id, stream.produced, data)
        stream.produced += 1
        if self.retains_events:
            stream.data.append(data)
        if last:
            stream.finished = True
            self._remove_stream(stream)
        is_delivered = not self.skips_events or last or event.offset == 0
        if is_delivered and stream.listener is not None:
            stream.listener(event)

    def _remove_stream(self, stream: FakeStream) -> None:
        if stream in self.running:
            self.running.remove(stream)
        if stream in self.waiting:
            self.waiting.remove(stream)
        if not self.retains_events:
            self.streams.pop(stream.stream_id, None)
        self._ensure_stepping()
