"""Timeline of one request, assembled from the logs of several instances."""

import pathlib
import re
from collections.abc import Iterable

from attrs import frozen

from trefoilhinge.client.exit_codes import EXIT_PROBLEM_FOUND, EXIT_SUCCESS
from trefoilhinge.exceptions import TrefoilhingeError

_FIELD_PATTERN = re.compile(r'(\w+)=("[^"]*"|\S+)')
_HEADER_FIELDS = ('at', 'instance', 'event')
# Explanation of how a call ended, by outcome or refusal code.
_CAUSE_TEXTS = {
    'answered': 'the complete answer was sent to the caller',
    'caller_gone': 'the caller disconnected before the answer was complete',
    'cut': 'the instance ended before the answer was complete',
    'time_over': 'no answer within the time limit of the caller or the route',
    'targets_full': 'every target that was tried refused the call',
    'internal_error': 'an unexpected error ended the call',
    'request_quarantined': 'targets crashed under requests like this one',
    'targets_resting': 'all targets had asked this instance for rest',
    'targets_limited': 'no target had room within the limit that it named',
    'no_capacity': 'other calls took the capacity until it was too late',
    'answer_lost': 'the answer was lost after a target may have run the call',
    'domains_evacuated': 'all targets were in evacuated failure domains',
    'targets_cold': 'all targets had just started and took no more calls',
    'refusal_unmarked': 'a target refused, but did not say that it had not run',
    'connections_crowded': 'too many callers were connected',
    'memory_short': 'the instance held too much for its callers',
    'no_target': 'no target of the service was known or had capacity',
    'stream_lost': 'a stream broke and could not be resumed on another target',
    'document_unknown': 'the instance had just started and had no document',
    'route_unknown': 'no route of the document matches the host and path',
    'key_unknown': 'no organisation of the document has this key',
    'targets_unreachable': 'no instance that was asked reached a target',
    'document_behind': 'a peer had an older document than this instance',
    'relay_malformed': 'a call that another instance sent could not be read',
    'stopping': 'the instance was shutting down',
}


class LogUnreadable(TrefoilhingeError):
    """Raised when a log file cannot be read."""


@frozen
class TimelineEntry:
    """Log event about a request.

    :ivar at_s: time of the event by the instance's wall clock, in seconds.
    :ivar instance: name of the instance that logged the event.
    :ivar event: name of the event.
    :ivar fields: remaining fields of the log line, without the request.
    """

    at_s: float
    instance: str
    event: str
    fields: dict[str, str]


def parse_timeline(
    log_lines: Iterable[str], request_id: str
) -> list[TimelineEntry]:
    """Return the events of a request in chronological order.

    :param log_lines: log lines of any number of instances, in any order.
    :param request_id: identifier of the request.
    """
    entries = []
    for line in log_lines:
        log_fields = {
            name: value.strip('"')
            for name, value in _FIELD_PATTERN.findall(line)
        }
        if log_fields.get('request') != request_id or 'event' not in log_fields:
            continue
        fields = {
            name: value
            for name, value in log_fields.items()
            if name not in {*_HEADER_FIELDS, 'request'}
        }
        entries.append(
            TimelineEntry(
                _parse_time(log_fields.get('at', '')),
                log_fields.get('instance', ''),
                log_fields['event'],
                fields,
            )
        )
    return sorted(entries, key=lambda entry: entry.at_s)


def describe_cause(timeline: list[TimelineEntry]) -> str:
    """Return one sentence on how a request ended and why."""
    ends = [
        entry
        for entry in timeline
        if entry.event in {'call_ended', 'call_refused'}
    ]
    if not ends:
        return 'not ended: the instance stopped first, or its log is missing'
    # The instance that took the call ends it; one that served it for that
    # instance may log its own end later, by another clock.
    own = [entry for entry in ends if 'relayed_by' not in entry.fields]
    end_fields = (own or ends)[-1].fields
    reason = end_fields.get('code') or end_fields.get('outcome', '')
    cause = _CAUSE_TEXTS.get(reason, reason)
    broken_offers = [
        entry for entry in timeline if entry.event == 'offer_broken'
    ]
    if broken_offers:
        problem = broken_offers[-1].fields.get('problem', '')
        target = broken_offers[-1].fields.get('target', '')
        cause = f'{cause}; target {target}: {problem}'
    limits = _describe_limits(timeline)
    return f'{reason}: {cause}{limits}{_describe_quarantine(timeline)}'


def _describe_limits(timeline: list[TimelineEntry]) -> str:
    """Return the targets that had no room within their limits."""
    limits = {
        entry.fields.get('target', ''): entry.fields.get('rate', '')
        for entry in timeline
        if entry.event == 'permit_refused'
    }
    if not limits:
        return ''
    named = ', '.join(
        f'{target} at {rate} a second' for target, rate in limits.items()
    )
    return f'; limited: {named}'


def _describe_quarantine(timeline: list[TimelineEntry]) -> str:
    """Return the quarantined traits and the targets that crashed."""
    texts = [
        f'{entry.fields.get("trait", "")} after {entry.fields.get("targets")}'
        for entry in timeline
        if entry.event == 'call_quarantined'
    ]
    return f'; quarantined: {"; ".join(texts)}' if texts else ''


def format_timeline(timeline: list[TimelineEntry]) -> list[str]:
    """Return the cause, then a line for each event."""
    start_s = timeline[0].at_s
    lines = [describe_cause(timeline)]
    for entry in timeline:
        fields = ' '.join(
            f'{name}={value}' for name, value in entry.fields.items()
        )
        lines.append(
            f'{entry.at_s - start_s:8.3f} s  {entry.instance}  '
            f'{entry.event}  {fields}'
        )
    return lines


def print_timeline(request_id: str, files: Iterable[str]) -> int:
    """Print the timeline of a request.

    :param request_id: identifier of the request.
    :param files: paths of the instances' logs.
    :return: exit code; ``EXIT_PROBLEM_FOUND`` if no log line contains the
        request.
    :raises LogUnreadable: a file cannot be read.
    """
    log_lines: list[str] = []
    for file in files:
        log_lines.extend(_read_lines(file))
    timeline = parse_timeline(log_lines, request_id)
    if not timeline:
        print(f'no log line contains the request {request_id}')
        return EXIT_PROBLEM_FOUND
    print('\n'.join(format_timeline(timeline)))
    return EXIT_SUCCESS


def _read_lines(file: str) -> list[str]:
    try:
        return pathlib.Path(file).read_text(errors='replace').splitlines()
    except OSError as error:
        raise LogUnreadable(f'{file}: {error.strerror}') from error


def _parse_time(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        return 0
