"""HTTP client of the configuration service and the list of instances."""

from collections.abc import Mapping
from typing import Any

import cattrs
import urllib3
from attrs import frozen

from trefoilhinge.core.effects import ReadDocument
from trefoilhinge.core.events import DocumentRead, InstancesListed
from trefoilhinge.core.reports import ListedInstance, ListedTarget
from trefoilhinge.targets.http_requests import (
    CONNECT_TIMEOUT_S,
    PARSE_ERRORS,
    make_pool,
    request_json,
)

RESPONSE_TIMEOUT_S = 2.0


@frozen
class HttpPlatformClient:
    """Read-only client of the services of the platform.

    :ivar configuration_url: URL of the document, empty if there is none.
    :ivar instances_url: URL of the lists of instances and targets, empty if
        there are none.
    """

    configuration_url: str
    instances_url: str
    _pool: urllib3.PoolManager

    def read_document(self, read: ReadDocument) -> DocumentRead:
        """Read or watch the document.

        :return: without a document if no URL is set or the request failed.
        """
        if not self.configuration_url:
            return DocumentRead(None)
        url = (
            f'{self.configuration_url}'
            f'?after={read.after_revision}&wait={read.wait_s}'
        )
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S,
            read=read.wait_s + RESPONSE_TIMEOUT_S,
        )
        try:
            response = self._pool.request(
                'GET',
                url,
                timeout=timeout,
                redirect=False,
                retries=False,
            )
        except (urllib3.exceptions.HTTPError, OSError):
            return DocumentRead(None)
        if response.status != 200:
            return DocumentRead(None)
        return DocumentRead(response.data.decode('utf-8', 'replace'))

    def read_instances(self) -> InstancesListed:
        """Read the lists of instances and targets.

        :return: without lists if no URL is set, the request failed or the
            response is malformed.
        """
        if not self.instances_url:
            return InstancesListed(None)
        fields = request_json(
            self._pool,
            'GET',
            self.instances_url,
            None,
            {},
            RESPONSE_TIMEOUT_S,
        )
        if fields is None:
            return InstancesListed(None)
        try:
            return _parse_lists(fields)
        except PARSE_ERRORS:
            return InstancesListed(None)


def _parse_lists(fields: Mapping[str, Any]) -> InstancesListed:
    return InstancesListed(
        cattrs.structure(
            fields.get('instances', []),
            tuple[ListedInstance, ...],
        ),
        cattrs.structure(
            fields.get('targets', []),
            tuple[ListedTarget, ...],
        ),
    )


def make_http_platform_client(
    configuration_url: str,
    instances_url: str,
    pool: urllib3.PoolManager | None = None,
) -> HttpPlatformClient:
    """Return a client of the platform's services."""
    return HttpPlatformClient(
        configuration_url,
        instances_url,
        pool or make_pool(),
    )
