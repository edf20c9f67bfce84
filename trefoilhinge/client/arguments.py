"""Prepares arguments so that the command line keeps them as they were typed.

The library that reads them turns a text that looks like a Python literal
into one: ``0123`` and ``1e5`` would lose digits. Each value is quoted as a
literal first, so that it stays a text and is converted by its schema.
"""

from trefoilhinge.exceptions import ImproperlyConfigured

MAXIMUM_MINUTES = 1440  # a day
_MAXIMUM_DIGITS = 15
_HELP_FLAGS = frozenset(('--help', '-h'))
# Separators of the library, which are no values.
_SEPARATORS = frozenset(('-', '--'))


def quote_arguments(arguments: list[str]) -> list[str]:
    """Return arguments with every value quoted.

    :param arguments: the command and what follows it.
    """
    return [*arguments[:1], *(_quote_argument(one) for one in arguments[1:])]


def has_help_flag(arguments: list[str]) -> bool:
    """Return whether help is asked for."""
    return any(one in _HELP_FLAGS for one in arguments)


def parse_switch(value: str | bool, name: str) -> bool:
    """Return a switch given as ``--name``, ``--name=true`` or ``=false``.

    :raises ImproperlyConfigured: the value is neither.
    """
    words = {'true': True, 'false': False}
    if isinstance(value, bool):
        return value
    if value.lower() not in words:
        raise ImproperlyConfigured(
            f'--{name} is {value!r}; write true or false'
        )
    return words[value.lower()]


def parse_count(value: str | bool, name: str) -> int:
    """Return a whole number of zero or more.

    :raises ImproperlyConfigured: the value is none.
    """
    text = str(value)
    if (
        not text.isascii()
        or not text.isdecimal()
        or len(text) > _MAXIMUM_DIGITS
    ):
        raise ImproperlyConfigured(f'--{name} is {value!r}; write a number')
    return int(text)


def parse_minutes(value: str) -> float:
    """Return a number of minutes above zero.

    :raises ImproperlyConfigured: the value is none.
    """
    try:
        minutes = float(value)
    except ValueError:
        minutes = 0
    if not 0 < minutes <= MAXIMUM_MINUTES:
        raise ImproperlyConfigured(
            f'--minutes is {value!r}; '
            f'write a number from 0 to {MAXIMUM_MINUTES}'
        )
    return minutes


def parse_choice(value: str, name: str, choices: tuple[str, ...]) -> str:
    """Return a value that must be one of some.

    :raises ImproperlyConfigured: it is none of them.
    """
    if value not in choices:
        known = ' or '.join(choices)
        raise ImproperlyConfigured(f'--{name} is {value!r}; write {known}')
    return value


def _quote_argument(argument: str) -> str:
    if argument in _SEPARATORS or argument in _HELP_FLAGS:
        return argument
    if not argument.startswith('-'):
        return repr(argument)
    name, equals, value = argument.partition('=')
    return f'{name}={value!r}' if equals else argument
