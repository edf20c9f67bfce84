"""Quoting and parsing of command-line arguments.

Fire evaluates values that look like Python literals, so that ``0123`` and
``1e5`` would not keep their digits. Each value is therefore quoted as a string
literal first and converted later, by the schema of its setting.
"""

from trefoilhinge.exceptions import ImproperlyConfigured

MAXIMUM_MINUTES = 1440  # one day
_MAXIMUM_DIGITS = 15
_HELP_FLAGS = frozenset(('--help', '-h'))
# Fire treats these as separators rather than values.
_SEPARATORS = frozenset(('-', '--'))


def quote_arguments(arguments: list[str]) -> list[str]:
    """Quote every value of a command line as a string literal.

    :param arguments: the command, followed by its flags and values.
    :return: the arguments; the command, separators, help flags and flags
        without a value are unchanged.
    """
    return [
        *arguments[:1],
        *(_quote_argument(argument) for argument in arguments[1:]),
    ]


def has_help_flag(arguments: list[str]) -> bool:
    """Return whether the arguments contain a help flag."""
    return any(argument in _HELP_FLAGS for argument in arguments)


def parse_switch(value: str | bool, name: str) -> bool:
    """Parse a flag given as ``--name``, ``--name=true`` or ``--name=false``.

    :param value: ``True`` for a flag without a value.
    :param name: name of the flag, for the error message.
    :raises ImproperlyConfigured: the value is neither true nor false.
    """
    states = {'true': True, 'false': False}
    if isinstance(value, bool):
        return value
    if value.lower() not in states:
        raise ImproperlyConfigured(
            f'--{name} is {value!r}; write true or false'
        )
    return states[value.lower()]


def parse_count(value: str | bool, name: str) -> int:
    """Parse a non-negative integer.

    :param name: name of the flag, for the error message.
    :raises ImproperlyConfigured: the value is not a non-negative integer of
        at most 15 digits.
    """
    text = str(value)
    if (
        not text.isascii()
        or not text.isdecimal()
        or len(text) > _MAXIMUM_DIGITS
    ):
        raise ImproperlyConfigured(
            f'--{name} is {value!r}; write a whole number of zero or more, '
            f'with at most {_MAXIMUM_DIGITS} digits'
        )
    return int(text)


def parse_minutes(value: str) -> float:
    """Parse a duration in minutes.

    :return: minutes, greater than zero.
    :raises ImproperlyConfigured: the value is not a number, or not within
        ``MAXIMUM_MINUTES``.
    """
    try:
        minutes = float(value)
    except ValueError:
        minutes = 0
    if not 0 < minutes <= MAXIMUM_MINUTES:
        raise ImproperlyConfigured(
            f'--minutes is {value!r}; '
            f'write a number above 0 and up to {MAXIMUM_MINUTES}'
        )
    return minutes


def parse_choice(value: str, name: str, choices: tuple[str, ...]) -> str:
    """Return a value after checking that it is one of the choices.

    :param name: name of the flag, for the error message.
    :raises ImproperlyConfigured: the value is not one of the choices.
    """
    if value not in choices:
        allowed = ' or '.join(choices)
        raise ImproperlyConfigured(f'--{name} is {value!r}; write {allowed}')
    return value


def _quote_argument(argument: str) -> str:
    if argument in _SEPARATORS or argument in _HELP_FLAGS:
        return argument
    if not argument.startswith('-'):
        return repr(argument)
    name, equals, value = argument.partition('=')
    return f'{name}={value!r}' if equals else argument
