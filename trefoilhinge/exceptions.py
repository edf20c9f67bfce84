"""The tree of exceptions raised by trefoilhinge.

A decision answers with a result or a verdict. An exception is for input that
stops a program, and its message says what to change.
"""


class TrefoilhingeError(Exception):
    """Root of every exception of this package."""


class ImproperlyConfigured(TrefoilhingeError):
    """A setting is unknown, missing or of the wrong type."""


class DocumentInvalid(TrefoilhingeError):
    """A configuration document was refused."""
