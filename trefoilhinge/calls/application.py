"""WSGI application of the callers' API."""

import json
import uuid
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from attrs import define

from trefoilhinge.calls.answers import describe_models, format_status
from trefoilhinge.calls.authentication import ApiKeyTable
from trefoilhinge.calls.call_parsing import CallContext
from trefoilhinge.calls.call_service import CallService, StartResponse
from trefoilhinge.calls.connections import CONNECTION_KEY
from trefoilhinge.calls.exceptions import RequestRefused
from trefoilhinge.calls.requests import Environ, read_request
from trefoilhinge.calls.service_rules import list_services
from trefoilhinge.conf.generated.document import Document, Organisation
from trefoilhinge.core.clocks import Clock
from trefoilhinge.core.identifiers import RequestId
from trefoilhinge.core.verdicts import (
    RefusalCode,
    refuse_not_ready,
    refuse_not_run,
    refuse_stopping,
)

IDEMPOTENCY_KEYS_PATH = '/v1/idempotency-keys'
MODELS_PATH = '/v1/models'
MODEL_KIND = 'model'


@define
class CallerApplication:
    """Serve callers' requests, each in a thread of the server.

    Paths other than those of models and idempotency keys are calls.
    """

    _api_keys: ApiKeyTable
    _find_document: Callable[[], Document | None]
    _mint_key: Callable[[str], str | None]
    _service: CallService
    _clock: Clock
    _maximum_body_bytes: int

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Serve one request."""
        request_id = RequestId(uuid.uuid4().hex)
        try:
            return self._serve(environ, start_response, request_id)
        except RequestRefused as refused:
            return self._service.refuse(
                refused.refusal,
                request_id,
                start_response,
                environ[CONNECTION_KEY],
            )

    def _serve(
        self,
        environ: Environ,
        start_response: StartResponse,
        request_id: RequestId,
    ) -> Iterable[bytes]:
        received_s = self._clock.read().monotonic_s
        document, organisation = self._authenticate(environ)
        if environ['PATH_INFO'] == IDEMPOTENCY_KEYS_PATH:
            return self._answer_idempotency_key(organisation, start_response)
        route = environ['REQUEST_METHOD'], environ['PATH_INFO']
        if route == ('GET', MODELS_PATH):
            names = list_services(document, organisation, MODEL_KIND)
            return _answer_json(describe_models(names), start_response)
        request = read_request(environ, self._maximum_body_bytes)
        context = CallContext(
            request_id,
            organisation,
            document,
            self._service.token_estimator,
            received_s,
        )
        active_call = self._service.start_call(
            request, context, environ[CONNECTION_KEY]
        )
        return self._service.answer(active_call, start_response)

    def _authenticate(self, environ: Environ) -> tuple[Document, Organisation]:
        document = self._find_document()
        if document is None:
            raise RequestRefused(refuse_not_ready())
        self._api_keys.load(document)
        authorization = environ.get('HTTP_AUTHORIZATION', '')
        organisation = self._api_keys.find_organisation(authorization)
        if organisation is None:
            raise RequestRefused(
                refuse_not_run(
                    RefusalCode.UNKNOWN_KEY,
                    'Unknown API key; check the Authorization header.',
                    example='Authorization: Bearer th-...',
                ),
            )
        return document, organisation

    def _answer_idempotency_key(
        self,
        organisation: Organisation,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        key = self._mint_key(organisation.name)
        if key is None:
            raise RequestRefused(
                refuse_not_run(
                    RefusalCode.NOT_READY,
                    'This instance cannot issue an idempotency key now; '
                    'request it again.',
                    retry_after_s=1,
                ),
            )
        if not key:
            # The ledger is sealed, which ends a planned stop.
            raise RequestRefused(refuse_stopping())
        return _answer_json({'key': key}, start_response)


def _answer_json(
    fields: Mapping[str, Any], start_response: StartResponse
) -> Iterable[bytes]:
    body = json.dumps(fields).encode()
    headers = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(body))),
    ]
    start_response(format_status(200), headers)
    return [body]
