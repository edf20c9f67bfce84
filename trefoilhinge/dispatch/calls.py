"""Calls, the attempts at targets that serve them, and answer heads."""

import xxhash
from attrs import frozen

from trefoilhinge.dispatch.documents import Organisation, Route

RawHeaders = tuple[tuple[bytes, bytes], ...]


@frozen
class PromptSize:
    """Token counts of a prompt and its output.

    :ivar prompt_tokens: length of the prompt.
    :ivar maximum_output_tokens: limit on the generated tokens.
    :ivar expected_output_tokens: the caller's estimate of the generated
        tokens, or the limit if the caller gave none.
    """

    prompt_tokens: int
    maximum_output_tokens: int
    expected_output_tokens: int


@frozen
class CallHead:
    """Request line and headers of a call, before it is routed.

    :ivar target: request target of the request line: path and query.
    :ivar timeout_s: seconds that the caller waits; none if it did not say.
    :ivar last_event: number of the last event that the caller received.
    :ivar forwarded_headers: headers passed to the target unchanged.
    :ivar prompt_parts: identifiers of the parts of the prompt that other
        prompts may share, which are all but the last, in order.
    """

    method: bytes
    target: bytes
    host: str
    path: str
    request_id: str
    api_key: str | None
    timeout_s: float | None
    prompt_size: PromptSize | None
    last_event: int | None
    forwarded_headers: RawHeaders
    prompt_parts: tuple[str, ...] = ()

    @property
    def request_hash(self) -> int:
        """Return a uniform 32-bit hash of the request identifier."""
        content = self.request_id.encode('latin-1')
        return int(xxhash.xxh32_intdigest(content))


@frozen
class Call:
    """A call that was accepted for a route.

    :ivar received_s: monotonic seconds at which it was received.
    :ivar deadline_s: monotonic seconds at which the caller's timeout or the
        route's ends, whichever is first.
    :ivar caller_deadline_s: monotonic seconds at which the caller's timeout
        ends, or the route's if the caller set none.
    :ivar relayed_by: IP address of the instance that took the call and sent
        it on; empty if this one took it. Such a call is not sent on again.
    """

    head: CallHead
    body: bytes
    route: Route
    service: str
    organisation: Organisation | None
    received_s: float
    deadline_s: float
    caller_deadline_s: float
    relayed_by: str = ''

    @property
    def priority(self) -> int:
        """Return the priority of the call; 0 is the highest."""
        own = self.organisation.priority if self.organisation else None
        return self.route.priority if own is None else own


@frozen
class PrefillHelper:
    """A target that prefills part of a prompt for the answering target.

    :ivar reservation_id: reservation that holds the part's KV memory; empty
        if none was made.
    """

    address: str
    reservation_id: str = ''


@frozen
class Attempt:
    """One attempt to serve a call at one target.

    :ivar target: name of the target.
    :ivar remaining_s: seconds that the target may take.
    :ivar last_event: number of the last event that the caller received.
    """

    target: str
    remaining_s: float
    priority: int
    helpers: tuple[PrefillHelper, ...] = ()
    last_event: int | None = None


@frozen
class AnswerHead:
    """Status line and headers of a target's answer.

    :ivar is_signed: whether the answer carries the target's signature.
    :ivar not_run: whether the target states that it did not run the call.
    :ivar at_fault: address or name of the unreachable target that caused the
        failure; empty if the answer names none.
    :ivar forwarded_headers: headers passed to the caller unchanged.
    :ivar ends_with_connection: whether only the end of its connection shows
        the end of the answer, as it has neither a length nor chunks.
    :ivar requests_per_s: rate that the target takes from all instances
        together; none if the answer names no limit.
    :ivar rate_problem: why a named limit cannot be read, else empty.
    :ivar rest_s: seconds for which the target wants nothing from this
        instance, zero if it did not say.
    :ivar rest_problem: why a rest cannot be read, else empty.
    :ivar is_leaving: whether the target says that it takes no new calls.
    :ivar cold_s: seconds for which the target says that it stays cold; none if
        it does not say.
    """

    status: int
    request_id: str
    is_signed: bool
    not_run: bool
    at_fault: str
    forwarded_headers: RawHeaders
    ends_with_connection: bool = False
    requests_per_s: float | None = None
    rate_problem: str = ''
    rest_s: float = 0
    rest_problem: str = ''
    is_leaving: bool = False
    cold_s: float | None = None

    @property
    def is_success(self) -> bool:
        """Return whether the status is in the 2xx range."""
        return 200 <= self.status < 300


def can_refuse(status: int) -> bool:
    """Return whether an answer with a status can be that of no run.

    A success, and any other failure of the target, are what a run ends with.
    """
    return 400 <= status < 500 or status == 503
