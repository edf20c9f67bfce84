"""Failures of calls to targets, by whether the call may have run."""


class TargetRefused(Exception):
    """The target confirmed that it did not start the call.

    :ivar retry_after_s: seconds after which the target allows a retry,
        ``None`` if it named none.
    """

    def __init__(self, retry_after_s: float | None = None) -> None:
        """Store the delay that the target asked for."""
        super().__init__('the target refused the call and did not start it')
        self.retry_after_s = retry_after_s


class TargetNotReached(Exception):
    """No byte of the call was sent."""


class TargetBroke(Exception):
    """The connection broke after bytes may have been sent.

    An answer that is cut, stalled or too large counts as broken, too.
    """


class TargetErrored(Exception):
    """The target responded with an error and may have started the call."""
