"""The exception by which a request is refused before it is admitted."""

from trefoilhinge.core.verdicts import Refusal


class RequestRefused(Exception):
    """A request that cannot be understood or is not allowed."""

    def __init__(self, refusal: Refusal) -> None:
        """Take the refusal to answer with."""
        super().__init__(refusal.message)
        self.refusal = refusal
