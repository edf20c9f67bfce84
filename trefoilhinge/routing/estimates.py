"""Estimates of the time to a call's first token at a target."""

from attrs import frozen

from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.routing.prefixes import PrefixGuesses
from trefoilhinge.routing.states import TargetState

BLOCK_TOKENS = 512
# Half of a step in which an engine prefills other prompts, and half of one
# in which it only generates.
BUSY_STEP_WAIT_S = 0.045
DECODING_STEP_WAIT_S = 0.006
REMOTE_WAIT_S = 0.002
PLAIN_CALL_S = 0.01
GUESS_CONFIDENCE = 0.95
REPEATED_WORK_WEIGHT = 3.0
# Expected waits for what other instances placed a moment ago: short calls at
# a reserved target, any call elsewhere.
UNSEEN_SHORT_WAIT_S = 0.06
UNSEEN_LONG_WAIT_S = 0.09


@frozen
class Estimator:
    """Estimates for one call at one moment.

    :ivar urgent: whether the call goes ahead of others at the engine.
    :ivar home: reserved target that this instance prefers, if any.
    :ivar deepest: most leading blocks of its prompt that any target holds.
    """

    prefixes: PrefixGuesses
    profile: CallProfile
    urgent: bool
    home: TargetState | None
    deepest: int
    now_s: float

    def estimate(self, state: TargetState) -> float:
        """Return the seconds to the call's first token at a target."""
        return self._add_up(state, self._count_cached(state))

    def weigh(self, state: TargetState) -> float:
        """Return the seconds to compare targets by.

        Prompt tokens that are prefilled again cost the calls behind too, so
        that a patient call counts them more than its own wait for them.
        """
        cached = self._count_cached(state)
        seconds = self._add_up(state, cached)
        if self.urgent:
            return seconds + self._find_unseen_s(state)
        again = self.deepest * BLOCK_TOKENS - cached
        return seconds + REPEATED_WORK_WEIGHT * again / state.speed.rate

    def _add_up(self, state: TargetState, cached: int) -> float:
        seconds = 0 if state.local else REMOTE_WAIT_S
        if state.ejections:
            seconds += state.find_slow_start_s(self.now_s)
        if not self.profile.model:
            return seconds + state.count_calls() * PLAIN_CALL_S
        tokens: float = self.profile.prompt_tokens - cached
        missing = self.profile.total_tokens - state.free_tokens
        if missing > 0:
            # Memory for the call has yet to be freed by others.
            tokens += missing
        return seconds + tokens / state.speed.rate + self._find_queue_s(state)

    def _find_unseen_s(self, state: TargetState) -> float:
        if state is self.home:
            return 0
        return UNSEEN_SHORT_WAIT_S if state.reserved else UNSEEN_LONG_WAIT_S

    def _count_cached(self, state: TargetState) -> int:
        if not self.deepest:
            return 0
        blocks = self.prefixes.count_blocks(
            state.view.name,
            self.profile.prefix_digests,
            self.deepest,
            self.now_s,
        )
        return int(blocks * BLOCK_TOKENS * GUESS_CONFIDENCE)

    def _find_queue_s(self, state: TargetState) -> float:
        queue_s = state.free_at_s - self.now_s
        if queue_s <= 0:
            return DECODING_STEP_WAIT_S if self.urgent and state.busy else 0
        if not self.urgent:
            return queue_s
        ahead_s = max(0, state.urgent_at_s - self.now_s)
        return min(queue_s, ahead_s) + min(queue_s, BUSY_STEP_WAIT_S)
