"""Expected output of calls, from learned costs where these are in use."""

from attrs import frozen

from trefoilhinge.dispatch.admission.needs import HintedOutput, OutputBounds
from trefoilhinge.dispatch.calls import Call
from trefoilhinge.gateway.learned_costs import estimate_output
from trefoilhinge.gateway.state import GatewayState


@frozen
class LearnedOutput:
    """Takes the caller's hint only where costs are not learned."""

    _state: GatewayState

    def estimate_output(self, call: Call) -> OutputBounds:
        """Return the expected output of a call with a prompt size."""
        learned = estimate_output(self._state, call)
        if learned is None:
            return HintedOutput().estimate_output(call)
        return OutputBounds(learned.mean, learned.upper)
