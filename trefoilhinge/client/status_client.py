"""Reads the status of the instances of a fleet over HTTP."""

import functools
import json
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import urllib3
from attrs import frozen
from expression import Error, Ok, Result

from trefoilhinge.conf.generated import status as classes
from trefoilhinge.conf.generated.status import Finding, NodeStatus
from trefoilhinge.conf.generator import load_schema
from trefoilhinge.conf.structuring import STRUCTURE_ERRORS, make_strict_reader
from trefoilhinge.exceptions import ImproperlyConfigured

STATUS_TIMEOUT_S = 5.0
MAXIMUM_CONCURRENT_READS = 16
_DECODE_ERRORS = (*STRUCTURE_ERRORS, RecursionError)
_INFORMATIONAL_SEVERITY = 'notice'
_SEVERITY_ORDER = ('error', 'warning', _INFORMATIONAL_SEVERITY)


@frozen
class InstanceReport:
    """What one URL answered.

    :ivar status: none if it could not be read.
    :ivar problem: why it could not, empty if it could.
    """

    url: str
    status: NodeStatus | None
    problem: str = ''

    @property
    def needs_operator(self) -> bool:
        """Return whether the instance found something wrong."""
        if self.status is None:
            return True
        severities = {one.severity for one in self.status.findings}
        return bool(severities - {_INFORMATIONAL_SEVERITY})


@frozen
class InstanceFinding:
    """A finding and the instance that made it."""

    instance: str
    finding: Finding


@frozen
class StatusSource:
    """Where the status of a fleet is read.

    :ivar urls: URLs of peer listeners, separated by commas; empty if none.
    :ivar authorities: file with the authorities of TLS, PEM; may be empty.
    """

    urls: str = ''
    authorities: str = ''

    def read(self) -> tuple[InstanceReport, ...]:
        """Read the status of every instance."""
        return read_reports(self.urls, self.authorities)


def list_findings(statuses: Iterable[NodeStatus]) -> list[InstanceFinding]:
    """Return what any instance found wrong, the worst first."""
    found = [
        InstanceFinding(status.instance, finding)
        for status in statuses
        for finding in status.findings
    ]
    return sorted(
        found, key=lambda one: _SEVERITY_ORDER.index(one.finding.severity)
    )


def read_reports(
    urls: str, authorities: str = ''
) -> tuple[InstanceReport, ...]:
    """Read the status of every instance, several at a time.

    :param urls: URLs of peer listeners, separated by commas.
    :param authorities: file with the authorities that TLS is checked
        against, PEM; empty takes those of the machine.
    :raises ImproperlyConfigured: there is no URL among them.
    """
    wanted = [one.strip() for one in urls.split(',') if one.strip()]
    if not wanted:
        raise ImproperlyConfigured('give the URL of at least one instance')
    pool = urllib3.PoolManager(
        retries=False,
        timeout=STATUS_TIMEOUT_S,
        ca_certs=authorities or None,
    )
    with ThreadPoolExecutor(MAXIMUM_CONCURRENT_READS) as executor:
        reports = executor.map(lambda url: read_report(pool, url), wanted)
        return tuple(reports)


def read_report(pool: urllib3.PoolManager, url: str) -> InstanceReport:
    """Read the status of one instance.

    :param url: URL of its peer listener, with or without ``/status``.
    """
    read = fetch_status(pool, url, _make_status_decoder())
    if read.is_error():
        return InstanceReport(url, None, read.error)
    return InstanceReport(url, read.ok)


def fetch_status(
    pool: urllib3.PoolManager, url: str, read: Callable[[Any], Any]
) -> Result[Any, str]:
    """Read a status page; the error says why it cannot be read.

    :param url: URL of a listener, with or without ``/status``.
    :param read: returns the page's class from its JSON.
    """
    base = url if '://' in url else f'http://{url}'
    address = f'{base.rstrip("/").removesuffix("/status")}/status'
    try:
        response = pool.request('GET', address)
    except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
        return Error(f'no answer: {error}')
    if response.status != 200:
        return Error(f'HTTP status {response.status}')
    try:
        return Ok(read(json.loads(response.data)))
    except _DECODE_ERRORS as refusal:
        return Error(f'no status of an instance: {refusal}')


@functools.cache
def _make_status_decoder() -> Callable[[Any], Any]:
    return make_strict_reader(load_schema('status'), classes)
