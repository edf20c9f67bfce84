"""Shows the status of running instances, what is wrong first."""

import json
import sys
from collections.abc import Iterator

import cattrs

from trefoilhinge.client.arguments import read_choice
from trefoilhinge.client.exit_codes import EXIT_DONE, EXIT_FAULT, EXIT_INVALID
from trefoilhinge.client.status_client import (
    InstanceReport,
    list_findings,
    read_fleet,
)
from trefoilhinge.conf.generated.status import Count, NodeStatus

FORMATS = ('text', 'json')
_DIGEST_SHOWN = 8


def print_status(urls: str, form: str, authorities: str = '') -> int:
    """Print the status of instances; return an exit code.

    :param urls: URLs of peer listeners, separated by commas.
    :param form: ``text`` or ``json``.
    :param authorities: file with the authorities of TLS, PEM.
    """
    read_choice(form, 'format', FORMATS)
    reports = read_fleet(urls, authorities)
    if form == 'json':
        print(json.dumps(cattrs.unstructure(reports), indent=2))
    else:
        print('\n'.join(format_reports(reports)))
    unreachable = [one for one in reports if one.status is None]
    for report in unreachable:
        print(f'{report.url}: {report.problem}', file=sys.stderr)
    if unreachable or not reports:
        return EXIT_INVALID
    wrong = any(one.needs_operator for one in reports)
    return EXIT_FAULT if wrong else EXIT_DONE


def format_reports(reports: tuple[InstanceReport, ...]) -> Iterator[str]:
    """Yield lines: what is wrong anywhere, then each instance."""
    statuses = [one.status for one in reports if one.status is not None]
    found = list_findings(statuses)
    for one in found:
        finding = one.finding
        severity = finding.severity.upper()
        yield f'{severity:8} {one.instance}: {finding.code}: {finding.message}'
    if statuses and not found:
        yield 'Nothing is wrong.'
    for status in statuses:
        yield ''
        yield from _format_instance(status)


def _format_instance(status: NodeStatus) -> Iterator[str]:
    state = 'ready' if status.ready else 'not ready'
    if status.stopping:
        state = 'stopping'
    digest = status.digest[:_DIGEST_SHOWN] or 'none'
    yield f'{status.instance}: {state}, incarnation {status.incarnation}'
    yield f'  document   revision {status.revision}, digest {digest}'
    yield f'  calls      {status.calls}'
    yield f'  waiting    {status.queued}'
    for label, counts in (
        ('by state', status.calls_by_state),
        ('waiting by organisation', status.queue_by_organisation),
        ('waiting by prompt tokens', status.queue_by_prompt_tokens),
        ('held KV tokens by owner', status.held_by_owner),
        ('refusals', status.refusals),
    ):
        yield f'  {label}: {_format_counts(counts)}'
    for peer in status.peers:
        stopping = ', stopping' if peer.stopping else ''
        yield (
            f'  peer       {peer.name}: heard {peer.heard_age_s:.1f} s ago, '
            f'revision {peer.revision}{stopping}'
        )
    yield from _format_targets(status)


def _format_targets(status: NodeStatus) -> Iterator[str]:
    for one in status.targets:
        marks = [
            word
            for word, holds in (
                ('leaving', one.leaving),
                ('ejected', one.ejected),
            )
            if holds
        ]
        load = 'no load report'
        if one.report_age_s is not None:
            load = (
                f'{one.queued_tokens:,} tokens wait, {one.running} running, '
                f'{one.free_tokens:,} tokens free, {one.report_age_s:.1f} s old'
            )
        words = ', '.join([*marks, load, f'{one.calls} calls from here'])
        yield f'  target     {one.service}/{one.name}: {words}'


def _format_counts(counts: tuple[Count, ...]) -> str:
    return ', '.join(f'{one.name} {one.value:,}' for one in counts) or 'none'
