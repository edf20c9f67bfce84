"""Problems of a configuration document, each with a correction."""

import json

from attrs import frozen

ROOT = '$'
_MAXIMUM_VALUE_CHARACTERS = 80


@frozen
class DocumentProblem:
    """Problem of a document.

    :ivar path: JSON path of the value, such as ``$.services[0].kind``.
    :ivar wrong: what is wrong with the value.
    :ivar instead: what to write instead.
    """

    path: str
    wrong: str
    instead: str

    def __str__(self) -> str:
        """Return the problem as one line."""
        return f'{self.path}: {self.wrong}; {self.instead}'


Problems = tuple[DocumentProblem, ...]


def join_path(path: str, step: str | int) -> str:
    """Return the JSON path of a member or an item.

    :param path: path of the object or list.
    :param step: name of the member, or index of the item.
    """
    if isinstance(step, int):
        return f'{path}[{step}]'
    if step.isidentifier() and step.isascii():
        return f'{path}.{step}'
    return f'{path}[{json.dumps(step)}]'


def shorten_value(value: object) -> str:
    """Return a value for a message: ASCII, on one line and truncated."""
    text = ascii(value)
    if len(text) <= _MAXIMUM_VALUE_CHARACTERS:
        return text
    return f'{text[:_MAXIMUM_VALUE_CHARACTERS]}...'
