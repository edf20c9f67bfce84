"""Exceptions raised by trefoilhinge.

A decision returns a result or a verdict. An exception is raised only for
input that prevents a program from continuing, and its message states what to
change.
"""

# Exceptions that content from outside can raise while it is decoded: fields
# of another type, infinite numbers, and JSON that is nested too deeply.
MALFORMED_CONTENT_ERRORS = (
    AttributeError,
    IndexError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)


class TrefoilhingeError(Exception):
    """Base class of all exceptions in this package."""


class ImproperlyConfigured(TrefoilhingeError):
    """A setting is unknown, missing or of the wrong type."""


class DocumentInvalid(TrefoilhingeError):
    """A configuration document failed validation."""
