"""Prompts to be placed on targets."""

import math

from attrs import frozen

from trefoilhinge.dispatch.calls import PromptSize
from trefoilhinge.dispatch.demand.spreading import UnseenStarts
from trefoilhinge.dispatch.documents import EngineProfile, Route
from trefoilhinge.dispatch.estimation.estimates import Estimate

# Share of the published memory that placements may fill; the rest covers
# partly filled blocks.
USABLE_MEMORY_SHARE = 0.96


@frozen
class PlacementRequest:
    """A prompt to place and the time of its placement.

    :ivar engine: profile of the targets.
    :ivar now_s: monotonic seconds.
    :ivar remaining_s: seconds until the deadline of the call.
    :ivar learned_output: learned number of output tokens; none to use the
        caller's estimate.
    :ivar unseen: short calls that other instances are placing; none if they
        are not considered.
    """

    engine: EngineProfile
    route: Route
    size: PromptSize
    now_s: float
    remaining_s: float
    learned_output: Estimate | None = None
    unseen: UnseenStarts | None = None

    @property
    def required_tokens(self) -> int:
        """Return the KV memory for the prompt and the longest output."""
        return self.size.prompt_tokens + self.size.maximum_output_tokens

    @property
    def expected_tokens(self) -> int:
        """Return the KV memory to expect for the prompt and its output.

        Of a learned output it is the upper bound, as a run that outgrows the
        memory of its target is preempted.
        """
        output_tokens = self.size.expected_output_tokens
        if self.learned_output is not None:
            output_tokens = math.ceil(self.learned_output.upper)
        return self.size.prompt_tokens + output_tokens

    @property
    def mean_output_tokens(self) -> float:
        """Return the expected number of output tokens."""
        if self.learned_output is None:
            return self.size.expected_output_tokens
        return self.learned_output.mean

    @property
    def usable_tokens(self) -> int:
        """Return the KV memory of one target that placements may fill."""
        return int(self.engine.memory_tokens * USABLE_MEMORY_SHARE)
