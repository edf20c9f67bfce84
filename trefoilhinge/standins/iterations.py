"""A stand-in engine that works in passes, on simulated time.

It follows the figures that a service publishes of its engines: a pass with
writers has a fixed number of steps, each of which writes a token of every
writing call and reads at most a chunk of prompts; without writers a pass has
one step. What came during a pass joins the next one. Parts of prompts that
other engines answer are read first.
"""

from collections import deque

from attrs import define, field

from trefoilhinge.dispatch.documents import EngineProfile
from trefoilhinge.dispatch.latency_model import (
    estimate_prefill_s,
    estimate_step_s,
)


@define(eq=False)
class Prompt:
    """One call at the engine that answers it.

    :ivar context_tokens: tokens of context that each of its steps costs here.
    :ivar parts_left: parts of the prompt that are not read yet.
    :ivar event_times: seconds at which its events were made.
    """

    key: int
    context_tokens: int
    answer_tokens: int
    parts_left: int = 1
    event_times: list[float] = field(factory=list)

    @property
    def is_read(self) -> bool:
        """Return whether every part of the prompt was read."""
        return self.parts_left == 0


@define(eq=False)
class PromptPart:
    """A part of a prompt at the engine that reads it.

    :ivar tokens_left: tokens that are not read yet.
    :ivar token_s: seconds that one of them takes.
    :ivar is_own: whether the engine also answers the call.
    :ivar is_joint: whether other engines read parts of the same prompt.
    """

    prompt: Prompt
    tokens_left: float
    token_s: float
    is_own: bool
    is_joint: bool = False


@define(eq=False)
class PassEngine:
    """One engine.

    :ivar writers: calls that write.
    :ivar waiting: calls for which there is no place yet.
    :ivar busy_until_s: seconds at which the pass in progress ends.
    """

    figures: EngineProfile
    writers: list[Prompt] = field(factory=list)
    waiting: deque[tuple[Prompt, PromptPart]] = field(factory=deque)
    busy_until_s: float | None = None
    held_context: dict[int, int] = field(factory=dict)
    _reading: list[PromptPart] = field(factory=list)
    _unread: list[Prompt] = field(factory=list)
    _ended_parts: list[PromptPart] = field(factory=list)
    _in_pass: list[Prompt] = field(factory=list)

    def take_call(self, prompt: Prompt, part: PromptPart) -> None:
        """Take a call that this engine is to answer."""
        self.waiting.append((prompt, part))

    def take_part(self, part: PromptPart) -> None:
        """Take a part of a prompt that another engine answers."""
        self._reading.insert(0, part)

    def begin_pass(self, now_s: float) -> float | None:
        """Begin a pass; return when it ends, none if there is no work."""
        self._admit()
        self._in_pass = list(self.writers)
        if not self._in_pass and not self._reading:
            return None
        steps = self.figures.steps_per_iteration if self._in_pass else 1
        context = sum(one.context_tokens for one in self._in_pass)
        context += sum(self.held_context.values())
        step_s = estimate_step_s(self.figures, len(self._in_pass), context)
        reading_s = self._read(self.figures.chunk_tokens * steps)
        self.busy_until_s = now_s + steps * step_s + reading_s
        return self.busy_until_s

    def end_pass(self, now_s: float) -> list[Prompt]:
        """End the pass in progress; return the calls that are whole."""
        self.busy_until_s = None
        for part in self._ended_parts:
            part.prompt.parts_left -= 1
        self._ended_parts.clear()
        ended = []
        for writer in self._in_pass:
            writer.event_times.append(now_s)
            writer.answer_tokens -= self.figures.steps_per_iteration
            if writer.answer_tokens <= 0:
                ended.append(writer)
                self.writers.remove(writer)
        self._in_pass = []
        return ended

    def begin_answers(self, now_s: float) -> list[Prompt]:
        """Let calls write whose prompts were read; return them."""
        begun = [one for one in self._unread if one.is_read]
        for prompt in begun:
            self._unread.remove(prompt)
            self.writers.append(prompt)
            prompt.event_times.append(now_s)
        return begun

    def _admit(self) -> None:
        while self.waiting:
            taken = len(self.writers) + len(self._unread)
            if taken >= self.figures.slots:
                return
            prompt, part = self.waiting.popleft()
            self._unread.append(prompt)
            # What several engines read goes first, the newest before others.
            position = 0 if part.is_joint else len(self._reading)
            self._reading.insert(position, part)

    def _read(self, budget_tokens: float) -> float:
        """Read what a pass may; return seconds that it takes."""
        taken_s = 0.0  # noqa: WPS358
        while self._reading and budget_tokens > 0:
            part = self._reading[0]
            tokens = min(part.tokens_left, budget_tokens)
            part.tokens_left -= tokens
            budget_tokens -= tokens
            taken_s += tokens * part.token_s
            if part.tokens_left > 0:
                break
            self._ended_parts.append(self._reading.pop(0))
        return taken_s


def split_prompt(
    figures: EngineProfile,
    prompt: Prompt,
    prompt_tokens: int,
    readers: int,
) -> list[PromptPart]:
    """Return even parts of a prompt, that of the answering engine first."""
    tokens = prompt_tokens / readers
    token_s = estimate_prefill_s(figures, prompt_tokens) / prompt_tokens
    prompt.parts_left = readers
    return [
        PromptPart(
            prompt, tokens, token_s, is_own=position == 0, is_joint=readers > 1
        )
        for position in range(readers)
    ]
