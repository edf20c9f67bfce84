"""Samples that cost estimates are learned from."""

from attrs import frozen

from trefoilhinge.dispatch.estimation.estimates import CallFeatures


@frozen
class OutputSample:
    """A model call ended with its answer complete.

    Calls that were cut off are no samples: their outputs would have been
    longer than what arrived.

    :ivar output_tokens: number of generated tokens.
    """

    features: CallFeatures
    output_tokens: float


@frozen
class PrefillSample:
    """A target prefilled a prompt that no other prompt delayed.

    :ivar factor: observed duration over the one of the published profile.
    """

    target: str
    factor: float


@frozen
class ServiceSample:
    """A plain call was answered, or given up.

    :ivar service_s: seconds from sending it until then, without the delay
        between the failure domains.
    :ivar is_complete: whether it was answered. Otherwise the call would have
        taken at least that long.
    """

    features: CallFeatures
    target: str
    service_s: float
    is_complete: bool = True


Sample = OutputSample | PrefillSample | ServiceSample
