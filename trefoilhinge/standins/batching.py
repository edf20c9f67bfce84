"""Continuous batching for a stand-in engine."""

import json
import threading
import time

from attrs import define, field

from trefoilhinge.core.sse import DONE_DATA
from trefoilhinge.standins.answers import make_chunk
from trefoilhinge.standins.kv_memory import KvMemory

IDLE_WAIT_S = 0.5


@define(eq=False)
class Generation:
    """One stream of an engine.

    :ivar prefill_tokens_left: prompt tokens that are not prefilled yet.
    :ivar reserved_tokens: KV memory reserved while the stream runs.
    :ivar events: data of every event produced so far.
    """

    stream_id: str
    prompt_tokens: int
    output_tokens: int
    chat: bool
    priority: int
    prefill_tokens_left: int
    reserved_tokens: int
    digests: tuple[int, ...] = ()
    events: list[str] = field(factory=list)
    cancelled: bool = False
    changed: threading.Condition = field(factory=threading.Condition)

    @property
    def is_finished(self) -> bool:
        """Return whether the finish marker was produced."""
        return bool(self.events) and self.events[-1] == DONE_DATA

    @property
    def is_closed(self) -> bool:
        """Return whether the stream will produce no more events."""
        return self.cancelled or self.is_finished

    def cancel(self) -> None:
        """Cancel the stream unless it has finished."""
        with self.changed:
            self.cancelled = not self.is_finished
            self.changed.notify_all()

    def produce_token(self) -> None:
        """Append the next token; after the last, also the finish marker."""
        number = len(self.events)
        last = number + 1 >= self.output_tokens
        chunk = make_chunk(self.stream_id, number, self.chat, last)
        if last:
            chunk['usage'] = {
                'prompt_tokens': self.prompt_tokens,
                'completion_tokens': self.output_tokens,
                'total_tokens': self.prompt_tokens + self.output_tokens,
            }
        with self.changed:
            self.events.append(json.dumps(chunk))
            if last:
                self.events.append(DONE_DATA)
            self.changed.notify_all()


@define
class BatchScheduler:
    """Runs the streams of one engine in steps.

    Each step prefills one chunk of the prompt with the highest priority and
    decodes one token of every decoding stream. A long prefill therefore slows
    decoding down, as on a real engine.

    :ivar decode_interval_s: duration of a step without prefill, in seconds.
    :ivar chunk_tokens: maximum number of prompt tokens prefilled in one step.
    :ivar paused: whether steps are suspended; the engine still serves
        requests.
    """

    memory: KvMemory
    prefill_tokens_per_s: float
    decode_interval_s: float
    chunk_tokens: int = 2048
    maximum_running: int = 64
    paused: bool = False
    waiting: list[Generation] = field(factory=list)
    running: list[Generation] = field(factory=list)
    _changed: threading.Condition = field(factory=threading.Condition)
    _started: bool = False

    def add(self, generation: Generation) -> None:
        """Queue a stream ahead of streams with a lower priority."""
        with self._changed:
            self.waiting.append(generation)
            self.waiting.sort(key=lambda one: -one.priority)
            self._changed.notify_all()
            if not self._started:
                self._started = True
                threading.Thread(target=self._run, daemon=True).start()

    def count_queued_tokens(self) -> int:
        """Return the number of prompt tokens that are not prefilled yet."""
        streams = [*self.waiting, *self.running]
        return sum(
            one.prefill_tokens_left for one in streams if not one.is_closed
        )

    def _run(self) -> None:
        while self._started:
            with self._changed:
                self._remove_closed()
                self._admit()
                idle = self.paused or not self.running
                if idle:
                    self._changed.wait(IDLE_WAIT_S)
            if not idle:
                self._step()

    def _remove_closed(self) -> None:
        for one in self.running:
            if one.is_closed:
                self.memory.running_tokens -= one.reserved_tokens
        self.running = [one for one in self.running if not one.is_closed]
        self.waiting = [one for one in self.waiting if not one.is_closed]

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.maximum_running:
            first = self.waiting[0]
            if first.reserved_tokens > self.memory.free_tokens:
                return
            self.memory.running_tokens += first.reserved_tokens
            self.running.append(self.waiting.pop(0))

    def _step(self) -> None:
        prefilling = [
            one for one in self.running if one.prefill_tokens_left > 0
        ]
        decoding = [one for one in self.running if one.prefill_tokens_left <= 0]
        duration_s = self.decode_interval_s
        if prefilling:
            first = max(prefilling, key=lambda one: one.priority)
            tokens = min(first.prefill_tokens_left, self.chunk_tokens)
            duration_s = max(duration_s, tokens / self.prefill_tokens_per_s)
            self._record_prefill(first, tokens)
        time.sleep(duration_s)
        for one in decoding:
            if not one.is_closed:
                one.produce_token()

    def _record_prefill(self, generation: Generation, tokens: int) -> None:
        generation.prefill_tokens_left -= tokens
        if generation.prefill_tokens_left <= 0:
            self.memory.cache.store(generation.digests)
