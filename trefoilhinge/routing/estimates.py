"""Estimates of a call's time to first token at a target."""

from attrs import frozen

from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.routing.prefixes import PrefixIndex
from trefoilhinge.routing.states import TargetState

# Prompt tokens per block of ``CallProfile.prefix_digests``.
BLOCK_TOKENS = 512
# Mean wait for the current engine step: half of a step that prefills other
# prompts, and half of a step that only decodes.
PREFILL_STEP_WAIT_S = 0.045
DECODE_STEP_WAIT_S = 0.006
# Added latency of a target in another failure domain.
CROSS_DOMAIN_LATENCY_S = 0.002
# Expected duration of a call to a plain service.
PLAIN_CALL_DURATION_S = 0.01
# Expected share of the indexed prefix blocks that are still cached.
EXPECTED_HIT_RATIO = 0.95
# Weight of prefill time spent on tokens that another target has cached.
RECOMPUTATION_WEIGHT = 3.0
# Expected waits for calls that other instances placed too recently to be
# reported: short calls at a reserved target, any call at a regular one.
UNREPORTED_WAIT_RESERVED_S = 0.06
UNREPORTED_WAIT_REGULAR_S = 0.09


@frozen
class Estimator:
    """Estimates times to first token for one call at one moment.

    :ivar prefixes: index of the prompt prefixes that targets hold.
    :ivar profile: profile of the call.
    :ivar urgent: whether the call takes precedence over others at the engine.
    :ivar preferred_target: reserved target that this instance prefers, if any.
    :ivar longest_match: largest number of leading blocks of the prompt that
        any target holds.
    :ivar now_s: monotonic seconds.
    """

    prefixes: PrefixIndex
    profile: CallProfile
    urgent: bool
    preferred_target: TargetState | None
    longest_match: int
    now_s: float

    def estimate(self, state: TargetState) -> float:
        """Estimate the time to first token at a target, in seconds."""
        return self._estimate_ttft_s(state, self._count_cached_tokens(state))

    def score(self, state: TargetState) -> float:
        """Return the score of a target in seconds; a lower score is better.

        Prompt tokens that are prefilled again delay the calls queued behind
        as well, so a call that is not urgent weighs them
        ``RECOMPUTATION_WEIGHT`` times on top of its own wait. For an urgent
        call the expected wait for unreported calls is added instead.
        """
        cached_tokens = self._count_cached_tokens(state)
        seconds = self._estimate_ttft_s(state, cached_tokens)
        if self.urgent:
            return seconds + self._get_unreported_wait_s(state)
        recomputed_tokens = self.longest_match * BLOCK_TOKENS - cached_tokens
        return (
            seconds
            + RECOMPUTATION_WEIGHT
            * recomputed_tokens
            / state.prefill_rate.tokens_per_s
        )

    def _estimate_ttft_s(self, state: TargetState, cached_tokens: int) -> float:
        seconds = 0 if state.local else CROSS_DOMAIN_LATENCY_S
        if state.ejections:
            seconds += state.compute_slow_start_penalty_s(self.now_s)
        if not self.profile.model:
            return seconds + state.count_calls() * PLAIN_CALL_DURATION_S
        tokens: float = self.profile.prompt_tokens - cached_tokens
        missing_tokens = self.profile.total_tokens - state.free_tokens
        if missing_tokens > 0:
            # The call waits until other calls have freed the missing KV memory;
            # the wait is taken as the prefill time of as many tokens.
            tokens += missing_tokens
        return (
            seconds
            + tokens / state.prefill_rate.tokens_per_s
            + self._estimate_queue_wait_s(state)
        )

    def _get_unreported_wait_s(self, state: TargetState) -> float:
        if state is self.preferred_target:
            return 0
        return (
            UNREPORTED_WAIT_RESERVED_S
            if state.reserved
            else UNREPORTED_WAIT_REGULAR_S
        )

    def _count_cached_tokens(self, state: TargetState) -> int:
        if not self.longest_match:
            return 0
        blocks = self.prefixes.count_matched_blocks(
            state.view.name,
            self.profile.prefix_digests,
            self.longest_match,
            self.now_s,
        )
        return int(blocks * BLOCK_TOKENS * EXPECTED_HIT_RATIO)

    def _estimate_queue_wait_s(self, state: TargetState) -> float:
        queue_s = state.queue_empty_at_s - self.now_s
        if queue_s <= 0:
            return (
                DECODE_STEP_WAIT_S
                if self.urgent and state.has_running_calls
                else 0
            )
        if not self.urgent:
            return queue_s
        ahead_s = max(0, state.urgent_queue_empty_at_s - self.now_s)
        return min(queue_s, ahead_s) + min(queue_s, PREFILL_STEP_WAIT_S)
