"""Log lines of key=value pairs."""

from collections.abc import Iterable

_QUOTED_CHARACTERS = frozenset(' "=\n')


def format_pairs(pairs: Iterable[tuple[str, object]]) -> str:
    """Return pairs as text on one line; those without a value are left out."""
    return ' '.join(
        f'{name}={format_value(value)}'
        for name, value in pairs
        if value is not None
    )


def format_value(value: object) -> str:
    """Return a value as one word, or in one pair of quotes."""
    if isinstance(value, float):
        return f'{value:.4g}'
    text = str(value)
    if text and _QUOTED_CHARACTERS.isdisjoint(text):
        return text
    words = ' '.join(text.replace('"', "'").split())
    return f'"{words}"'
