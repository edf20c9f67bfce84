"""HTTP client for the status of instances."""

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
from trefoilhinge.conf.structuring import STRUCTURE_ERRORS, make_strict_decoder
from trefoilhinge.exceptions import ImproperlyConfigured

STATUS_TIMEOUT_S = 5.0
MAXIMUM_CONCURRENT_READS = 16
_DECODE_ERRORS = (*STRUCTURE_ERRORS, RecursionError)
_INFORMATIONAL_SEVERITY = 'notice'
_SEVERITY_ORDER = ('error', 'warning', _INFORMATIONAL_SEVERITY)


@frozen
class InstanceReport:
    """Result of reading the status of one instance.

    :ivar url: URL that was read.
    :ivar status: ``None`` if it could not be read.
    :ivar problem: reason why it could not be read, otherwise empty.
    """

    url: str
    status: NodeStatus | None
    problem: str = ''

    @property
    def needs_operator(self) -> bool:
        """Return whether it is unreachable or reports an error or a warning."""
        if self.status is None:
            return True
        severities = {finding.severity for finding in self.status.findings}
        return bool(severities - {_INFORMATIONAL_SEVERITY})


@frozen
class InstanceFinding:
    """Finding with the name of the instance that reported it."""

    instance: str
    finding: Finding


@frozen
class StatusSource:
    """Instances whose status is read.

    :ivar urls: URLs of peer listeners, separated by commas; may be empty.
    :ivar authorities: PEM file with the CA certificates for TLS; empty for
        those of the system.
    """

    urls: str = ''
    authorities: str = ''

    def read(self) -> tuple[InstanceReport, ...]:
        """Read the status of each instance."""
        return read_reports(self.urls, self.authorities)


def list_findings(statuses: Iterable[NodeStatus]) -> list[InstanceFinding]:
    """Return the findings of all instances, most severe first."""
    findings = [
        InstanceFinding(status.instance, finding)
        for status in statuses
        for finding in status.findings
    ]
    return sorted(
        findings, key=lambda item: _SEVERITY_ORDER.index(item.finding.severity)
    )


def read_reports(
    urls: str, authorities: str = ''
) -> tuple[InstanceReport, ...]:
    """Read the status of each instance, several concurrently.

    :param urls: URLs of peer listeners, separated by commas.
    :param authorities: PEM file with the CA certificates for TLS; empty for
        those of the system.
    :raises ImproperlyConfigured: no URL is given.
    """
    instance_urls = [url.strip() for url in urls.split(',') if url.strip()]
    if not instance_urls:
        raise ImproperlyConfigured('give the URL of at least one instance')
    pool = urllib3.PoolManager(
        retries=False,
        timeout=STATUS_TIMEOUT_S,
        ca_certs=authorities or None,
    )
    with ThreadPoolExecutor(MAXIMUM_CONCURRENT_READS) as executor:
        reports = executor.map(
            lambda url: read_report(pool, url), instance_urls
        )
        return tuple(reports)


def read_report(pool: urllib3.PoolManager, url: str) -> InstanceReport:
    """Read the status of one instance.

    :param url: URL of its peer listener, with or without ``/status``.
    """
    fetched = fetch_status(pool, url, _make_status_decoder())
    if fetched.is_error():
        return InstanceReport(url, None, fetched.error)
    return InstanceReport(url, fetched.ok)


def fetch_status(
    pool: urllib3.PoolManager, url: str, decode: Callable[[Any], Any]
) -> Result[Any, str]:
    """Fetch and decode the status of one instance.

    :param url: URL of a listener, with or without ``/status``.
    :param decode: function that converts the parsed JSON to its class.
    :return: the decoded status, or the reason why it cannot be read.
    """
    base_url = url if '://' in url else f'http://{url}'
    status_url = f'{base_url.rstrip("/").removesuffix("/status")}/status'
    try:
        response = pool.request('GET', status_url)
    except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
        return Error(f'no answer: {error}')
    if response.status != 200:
        return Error(f'HTTP status {response.status}')
    try:
        return Ok(decode(json.loads(response.data)))
    except _DECODE_ERRORS as decode_error:
        return Error(f'invalid status: {decode_error}')


@functools.cache
def _make_status_decoder() -> Callable[[Any], Any]:
    return make_strict_decoder(load_schema('status'), classes)
