"""Exceptions of the console."""

from trefoilhinge.exceptions import TrefoilhingeError


class FormRefused(TrefoilhingeError):
    """Raised when a browser's request is refused.

    :ivar status: status line of the response.
    """

    def __init__(self, status: str, message: str) -> None:
        """Store the status line and the message for the operator."""
        super().__init__(message)
        self.status = status
