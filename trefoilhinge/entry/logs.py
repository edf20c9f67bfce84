"""Logs: one line of key=value pairs for each event."""

import traceback

import logbook

from trefoilhinge.core.effects import LogEvent

TRACEBACK_LIMIT = 6
_logger = logbook.Logger('trefoilhinge')


def write_log_event(event: LogEvent) -> None:
    """Write an event as one line."""
    pairs = ' '.join(f'{key}={_quote(value)}' for key, value in event.fields)
    _logger.info('event={} {}', event.name, pairs)


def write_failure(name: str, **fields: str) -> None:
    """Write the exception that is being handled as one line."""
    pairs = ' '.join(f'{key}={_quote(value)}' for key, value in fields.items())
    problem = traceback.format_exc(limit=-TRACEBACK_LIMIT)
    _logger.error('event={} {} problem={}', name, pairs, _quote(problem))


def _quote(value: str) -> str:
    if value and not any(char in value for char in ' "=\n'):
        return value
    # One line and one pair of quotes, whatever the value holds.
    words = value.replace('"', "'").split()
    return f'"{" ".join(words)}"'
