"""How a call to a target may fail, by what it proves of the run."""


class TargetRefused(Exception):
    """The target proved that it did not start the call.

    :ivar retry_after_s: seconds that it asked to wait.
    """

    def __init__(self, retry_after_s: float | None = None) -> None:
        """Take the wait that the target asked for."""
        super().__init__('the target refused the call before it started')
        self.retry_after_s = retry_after_s


class TargetNotReached(Exception):
    """No byte of the call left this instance."""


class TargetBroke(Exception):
    """The connection broke after bytes had left, or the answer was cut."""


class TargetErrored(Exception):
    """The target answered with an error after it may have started."""
