"""What the console refuses before it shows a form."""

from trefoilhinge.exceptions import TrefoilhingeError


class FormRefused(TrefoilhingeError):
    """A request of a browser that is not served.

    :ivar status: status line of the answer.
    """

    def __init__(self, status: str, message: str) -> None:
        """Take the status line and what to tell the operator."""
        super().__init__(message)
        self.status = status
