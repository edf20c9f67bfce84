"""Logging of events, one line of key=value pairs each."""

import traceback

import logbook

from trefoilhinge.core.effects import LogEvent
from trefoilhinge.core.logfmt import format_pairs

TRACEBACK_FRAMES = 6
_logger = logbook.Logger('trefoilhinge')


def log_event(event: LogEvent) -> None:
    """Log an event as one line."""
    pairs = format_pairs(event.fields)
    _logger.info('event={} {}', event.name, pairs)


def log_exception(name: str, **fields: str) -> None:
    """Log the exception that is being handled as one line."""
    exception_text = traceback.format_exc(limit=-TRACEBACK_FRAMES)
    pairs = format_pairs((*fields.items(), ('problem', exception_text)))
    _logger.error('event={} {}', name, pairs)
