"""Formatting of log lines as key=value pairs (logfmt)."""

from collections.abc import Iterable

_QUOTED_CHARACTERS = frozenset(' "=\n')


def format_pairs(pairs: Iterable[tuple[str, object]]) -> str:
    """Format pairs as one line; pairs whose value is none are omitted."""
    return ' '.join(
        f'{name}={format_value(value)}'
        for name, value in pairs
        if value is not None
    )


def format_value(value: object) -> str:
    """Format a value, quoted if it is empty or holds a reserved character.

    A float is rounded to four significant digits. Reserved characters are
    space, newline, ``=`` and the double quote. In a quoted value double quotes
    become single quotes and each run of white space becomes one space, so that
    the value stays on one line and the quotes are balanced.
    """
    if isinstance(value, float):
        return f'{value:.4g}'
    text = str(value)
    if text and _QUOTED_CHARACTERS.isdisjoint(text):
        return text
    words = ' '.join(text.replace('"', "'").split())
    return f'"{words}"'
