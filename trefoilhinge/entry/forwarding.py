"""Handler of calls forwarded by peers to the owner of their key."""

import threading
import urllib.parse
import uuid
from collections.abc import Callable, Iterable
from typing import Any

from attrs import define, evolve, field

from trefoilhinge.calls.call_parsing import CallContext, ReceivedRequest
from trefoilhinge.calls.call_service import CallService
from trefoilhinge.calls.connections import CONNECTION_KEY
from trefoilhinge.calls.exceptions import RequestRefused
from trefoilhinge.calls.requests import read_request
from trefoilhinge.conf.generated.document import Document, Organisation
from trefoilhinge.core.clocks import Clock
from trefoilhinge.core.identifiers import InstanceIdentity, RequestId
from trefoilhinge.core.verdicts import Refusal, RefusalCode, Verdict

# Threads of the listener for peers that forwarded calls may occupy; the others
# remain available to exchanges and probes.
FORWARD_THREADS = 64
_ENCODED_SLASH = '%2F'


@define
class ForwardedCallHandler:
    """Serve calls of peers with the same call service as those of callers."""

    _identity: InstanceIdentity
    _find_document: Callable[[], Document | None]
    _service: CallService
    _clock: Clock
    _maximum_body_bytes: int
    _slots: threading.BoundedSemaphore = field(
        factory=lambda: threading.BoundedSemaphore(FORWARD_THREADS),
    )

    def serve(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        """Serve a forwarded call, or refuse it if no slot is free."""
        name = environ.get('HTTP_X_REQUEST_ID', '')
        request_id = RequestId(name if name.isalnum() else uuid.uuid4().hex)
        connection = environ[CONNECTION_KEY]
        if not self._slots.acquire(blocking=False):
            refusal = _make_owner_refusal('is overloaded')
            return self._service.refuse(
                refusal,
                request_id,
                start_response,
                connection,
            )
        try:
            active_call = self._service.start_call(
                *self._parse(environ, request_id),
                connection,
            )
        except RequestRefused as refused:
            self._slots.release()
            return self._service.refuse(
                refused.refusal,
                request_id,
                start_response,
                connection,
            )
        return self._answer_in_slot(
            self._service.answer, active_call, start_response
        )

    def _answer_in_slot(
        self,
        answer: Callable[..., Iterable[bytes]],
        *arguments: Any,
    ) -> Iterable[bytes]:
        try:
            chunks = answer(*arguments)
        except BaseException:
            self._slots.release()
            raise
        if isinstance(chunks, list):
            self._slots.release()
            return chunks
        return self._stream_in_slot(chunks)

    def _stream_in_slot(self, chunks: Iterable[bytes]) -> Iterable[bytes]:
        try:
            yield from chunks
        finally:
            self._slots.release()

    def _parse(
        self,
        environ: dict[str, Any],
        request_id: RequestId,
    ) -> tuple[ReceivedRequest, CallContext]:
        owner = (
            environ.get('HTTP_X_OWNER', ''),
            environ.get('HTTP_X_OWNER_INCARNATION', ''),
        )
        if owner != (self._identity.name, str(self._identity.incarnation)):
            # What another incarnation of this instance ran is unknown here.
            raise RequestRefused(_make_owner_refusal('is gone'))
        received_s = self._clock.read().monotonic_s
        document = self._find_document()
        organisation = _find_organisation(
            document,
            environ.get('HTTP_X_ORGANISATION', ''),
        )
        if document is None or organisation is None:
            raise RequestRefused(
                _make_owner_refusal('does not know the organisation'),
            )
        request = read_request(environ, self._maximum_body_bytes)
        target_path = environ.get('HTTP_X_ORIGINAL_PATH', '/')
        request = evolve(
            request,
            method=environ.get('HTTP_X_ORIGINAL_METHOD', 'POST'),
            path=_decode_path(target_path.partition('?')[0]),
            target_path=target_path,
        )
        context = CallContext(
            request_id,
            organisation,
            document,
            self._service.token_estimator,
            received_s,
            forwarded=True,
        )
        return request, context


def _find_organisation(
    document: Document | None,
    name: str,
) -> Organisation | None:
    organisations = document.organisations if document else ()
    matches = [
        organisation
        for organisation in organisations
        if organisation.name == name
    ]
    return matches[0] if matches else None


def _decode_path(path: str) -> str:
    parts = path.replace('%2f', _ENCODED_SLASH).split(_ENCODED_SLASH)
    return _ENCODED_SLASH.join(
        urllib.parse.unquote(part, encoding='latin-1') for part in parts
    )


def _make_owner_refusal(problem: str) -> Refusal:
    return Refusal(
        RefusalCode.KEY_OWNER_GONE,
        Verdict.MAY_HAVE_RUN,
        f'The instance that owns this Idempotency-Key {problem}, so it is '
        'unknown whether the request ran; check for its effects before you '
        'send it again with a new key.',
        retry_after_s=1,
    )
