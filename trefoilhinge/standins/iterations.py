"""A stand-in engine that works in iterations, on simulated time.

It follows the engine profile that a service publishes. An iteration with
decoding calls has a fixed number of steps; each step decodes one token of every
decoding call and prefills at most one chunk of prompts. An iteration without
decoding calls has one step. Calls that arrive during an iteration join the next
one. Parts of prompts whose calls are decoded by other engines are prefilled
first.
"""

from collections import deque

from attrs import define, field

from trefoilhinge.dispatch.documents import EngineProfile
from trefoilhinge.dispatch.latency_model import (
    estimate_prefill_s,
    estimate_step_s,
)


@define(eq=False)
class EngineCall:
    """One call on the engine that decodes it.

    :ivar context_tokens: context that each decoding step reads on this
        engine, in tokens.
    :ivar remaining_output_tokens: output tokens that are not decoded yet.
    :ivar unfinished_parts: number of prompt parts that are not prefilled yet.
    :ivar event_times_s: times at which events were produced, in seconds.
    """

    key: int
    context_tokens: int
    remaining_output_tokens: int
    unfinished_parts: int = 1
    event_times_s: list[float] = field(factory=list)

    @property
    def is_prefilled(self) -> bool:
        """Return whether every part of the prompt is prefilled."""
        return self.unfinished_parts == 0


@define(eq=False)
class PrefillPart:
    """A part of a prompt on the engine that prefills it.

    :ivar remaining_tokens: tokens that are not prefilled yet.
    :ivar prefill_s_per_token: prefill time of one token, in seconds.
    :ivar is_local: whether the engine also decodes the call.
    :ivar is_fanned_out: whether other engines prefill parts of the same
        prompt.
    """

    call: EngineCall
    remaining_tokens: float
    prefill_s_per_token: float
    is_local: bool
    is_fanned_out: bool = False


@define(eq=False)
class IterationEngine:
    """One engine.

    :ivar decoding: calls that are being decoded.
    :ivar waiting: calls without a free slot yet, each with its local part.
    :ivar busy_until_s: end of the current iteration, in seconds; none while
        idle.
    :ivar reserved_context_tokens: context reserved for calls that other
        engines decode, in tokens, by call.
    """

    profile: EngineProfile
    decoding: list[EngineCall] = field(factory=list)
    waiting: deque[tuple[EngineCall, PrefillPart]] = field(factory=deque)
    busy_until_s: float | None = None
    reserved_context_tokens: dict[int, int] = field(factory=dict)
    _prefill_queue: list[PrefillPart] = field(factory=list)
    _prefilling: list[EngineCall] = field(factory=list)
    _finished_parts: list[PrefillPart] = field(factory=list)
    _iteration_calls: list[EngineCall] = field(factory=list)

    def add_call(self, call: EngineCall, part: PrefillPart) -> None:
        """Queue a call that this engine decodes, with its local part."""
        self.waiting.append((call, part))

    def add_part(self, part: PrefillPart) -> None:
        """Queue a part of a prompt whose call another engine decodes."""
        self._prefill_queue.insert(0, part)

    def start_iteration(self, now_s: float) -> float | None:
        """Start an iteration.

        :return: end of the iteration, in seconds; none if there is no work.
        """
        self._admit()
        self._iteration_calls = list(self.decoding)
        if not self._iteration_calls and not self._prefill_queue:
            return None
        steps = self.profile.steps_per_iteration if self._iteration_calls else 1
        context = sum(one.context_tokens for one in self._iteration_calls)
        context += sum(self.reserved_context_tokens.values())
        step_s = estimate_step_s(
            self.profile, len(self._iteration_calls), context
        )
        prefill_s = self._prefill(self.profile.chunk_tokens * steps)
        self.busy_until_s = now_s + steps * step_s + prefill_s
        return self.busy_until_s

    def finish_iteration(self, now_s: float) -> list[EngineCall]:
        """Finish the current iteration and return the completed calls."""
        self.busy_until_s = None
        for part in self._finished_parts:
            part.call.unfinished_parts -= 1
        self._finished_parts.clear()
        finished = []
        for call in self._iteration_calls:
            call.event_times_s.append(now_s)
            call.remaining_output_tokens -= self.profile.steps_per_iteration
            if call.remaining_output_tokens <= 0:
                finished.append(call)
                self.decoding.remove(call)
        self._iteration_calls = []
        return finished

    def start_decoding(self, now_s: float) -> list[EngineCall]:
        """Start decoding the calls whose prompts are prefilled; return them."""
        started = [one for one in self._prefilling if one.is_prefilled]
        for call in started:
            self._prefilling.remove(call)
            self.decoding.append(call)
            call.event_times_s.append(now_s)
        return started

    def _admit(self) -> None:
        while self.waiting:
            occupied = len(self.decoding) + len(self._prefilling)
            if occupied >= self.profile.slots:
                return
            call, part = self.waiting.popleft()
            self._prefilling.append(call)
            # Prompts split over several engines go first, the newest in front.
            position = 0 if part.is_fanned_out else len(self._prefill_queue)
            self._prefill_queue.insert(position, part)

    def _prefill(self, budget_tokens: float) -> float:
        """Prefill up to a budget and return the time it takes, in seconds."""
        duration_s = 0.0  # noqa: WPS358
        while self._prefill_queue and budget_tokens > 0:
            part = self._prefill_queue[0]
            tokens = min(part.remaining_tokens, budget_tokens)
            part.remaining_tokens -= tokens
            budget_tokens -= tokens
            duration_s += tokens * part.prefill_s_per_token
            if part.remaining_tokens > 0:
                break
            self._finished_parts.append(self._prefill_queue.pop(0))
        return duration_s


def split_prompt(
    profile: EngineProfile,
    call: EngineCall,
    prompt_tokens: int,
    engines: int,
) -> list[PrefillPart]:
    """Split a prompt evenly over engines.

    :param engines: number of engines.
    :return: parts, that of the decoding engine first.
    """
    tokens = prompt_tokens / engines
    prefill_s_per_token = (
        estimate_prefill_s(profile, prompt_tokens) / prompt_tokens
    )
    call.unfinished_parts = engines
    return [
        PrefillPart(
            call,
            tokens,
            prefill_s_per_token,
            is_local=position == 0,
            is_fanned_out=engines > 1,
        )
        for position in range(engines)
    ]
