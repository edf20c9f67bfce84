"""Exceptions of request processing."""

from trefoilhinge.core.verdicts import Refusal


class RequestRefused(Exception):
    """The request is invalid or not allowed.

    :ivar refusal: refusal to respond with.
    """

    def __init__(self, refusal: Refusal) -> None:
        """Use the refusal's message as the message of the exception."""
        super().__init__(refusal.message)
        self.refusal = refusal
