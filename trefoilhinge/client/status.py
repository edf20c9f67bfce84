"""Display of the status of running instances, problems first."""

import json
import sys
from collections.abc import Iterator

import cattrs

from trefoilhinge.client.arguments import parse_choice
from trefoilhinge.client.exit_codes import (
    EXIT_ERROR,
    EXIT_PROBLEM_FOUND,
    EXIT_SUCCESS,
)
from trefoilhinge.client.status_client import (
    InstanceReport,
    list_findings,
    read_reports,
)
from trefoilhinge.conf.generated.status import Count, NodeStatus

FORMATS = ('text', 'json')
_DIGEST_PREFIX_CHARACTERS = 8


def print_status(urls: str, output_format: str, authorities: str = '') -> int:
    """Print the status of instances.

    :param urls: URLs of peer listeners, separated by commas.
    :param output_format: ``text`` or ``json``.
    :param authorities: PEM file with the CA certificates for TLS; empty for
        those of the system.
    :return: exit code; ``EXIT_PROBLEM_FOUND`` if an instance reports an error
        or a warning and ``EXIT_ERROR`` if one cannot be read.
    """
    parse_choice(output_format, 'format', FORMATS)
    reports = read_reports(urls, authorities)
    if output_format == 'json':
        print(json.dumps(cattrs.unstructure(reports), indent=2))
    else:
        print('\n'.join(format_reports(reports)))
    unreachable = [item for item in reports if item.status is None]
    for report in unreachable:
        print(f'{report.url}: {report.problem}', file=sys.stderr)
    if unreachable or not reports:
        return EXIT_ERROR
    has_problem = any(item.needs_operator for item in reports)
    return EXIT_PROBLEM_FOUND if has_problem else EXIT_SUCCESS


def format_reports(reports: tuple[InstanceReport, ...]) -> Iterator[str]:
    """Yield the findings of all instances, then each instance's status."""
    statuses = [item.status for item in reports if item.status is not None]
    findings = list_findings(statuses)
    for item in findings:
        finding = item.finding
        severity = finding.severity.upper()
        yield f'{severity:8} {item.instance}: {finding.code}: {finding.message}'
    if statuses and not findings:
        yield 'Nothing is wrong.'
    for status in statuses:
        yield ''
        yield from _format_instance(status)


def _format_instance(status: NodeStatus) -> Iterator[str]:
    state = 'ready' if status.ready else 'not ready'
    if status.stopping:
        state = 'stopping'
    digest = status.digest[:_DIGEST_PREFIX_CHARACTERS] or 'none'
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
    for target in status.targets:
        states = [
            state
            for state, is_set in (
                ('leaving', target.leaving),
                ('ejected', target.ejected),
            )
            if is_set
        ]
        load = 'no load report'
        if target.report_age_s is not None:
            load = (
                f'{target.queued_tokens:,} tokens waiting, '
                f'{target.running} running, '
                f'{target.free_tokens:,} tokens free, '
                f'{target.report_age_s:.1f} s old'
            )
        details = ', '.join(
            [*states, load, f'{target.calls} calls from this instance']
        )
        yield f'  target     {target.service}/{target.name}: {details}'


def _format_counts(counts: tuple[Count, ...]) -> str:
    return (
        ', '.join(f'{count.name} {count.value:,}' for count in counts) or 'none'
    )
