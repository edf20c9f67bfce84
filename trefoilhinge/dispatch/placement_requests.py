"""Prompts to be placed on targets."""

from attrs import frozen

from trefoilhinge.dispatch.calls import PromptSize
from trefoilhinge.dispatch.documents import EngineProfile, Route

# Share of the published memory that placements may fill; the rest covers
# partly filled blocks.
USABLE_MEMORY_SHARE = 0.96


@frozen
class PlacementRequest:
    """A prompt to place and the time of its placement.

    :ivar engine: profile of the targets.
    :ivar now_s: monotonic seconds.
    :ivar remaining_s: seconds until the deadline of the call.
    """

    engine: EngineProfile
    route: Route
    size: PromptSize
    now_s: float
    remaining_s: float

    @property
    def required_tokens(self) -> int:
        """Return the KV memory for the prompt and the longest output."""
        return self.size.prompt_tokens + self.size.maximum_output_tokens

    @property
    def expected_tokens(self) -> int:
        """Return the KV memory for the prompt and the expected output."""
        return self.size.prompt_tokens + self.size.expected_output_tokens

    @property
    def usable_tokens(self) -> int:
        """Return the KV memory of one target that placements may fill."""
        return int(self.engine.memory_tokens * USABLE_MEMORY_SHARE)
