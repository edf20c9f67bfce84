"""What a caller asks, what a target is offered and what it answers."""

from attrs import frozen

from trefoilhinge.dispatch.documents import Organisation, Route

RawHeaders = tuple[tuple[bytes, bytes], ...]


@frozen
class PromptSize:
    """Size of a prompt and of its answer, in tokens.

    :ivar answer_limit: most tokens of the answer.
    :ivar answer_expected: the caller's estimate, or the limit without one.
    """

    prompt_tokens: int
    maximum_output_tokens: int
    expected_output_tokens: int


@frozen
class CallHead:
    """A call as its caller sent it, before its route is known.

    :ivar passed: headers that the target gets unchanged.
    :ivar timeout_s: seconds that the caller waits; none if it does not say.
    :ivar last_event: number of the last event that the caller holds.
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


@frozen
class Call:
    """A call that was accepted for a route.

    :ivar ends_s: monotonic seconds at which its caller or its route no longer
        waits.
    :ivar caller_ends_s: the same for its caller alone.
    """

    head: CallHead
    body: bytes
    route: Route
    service: str
    organisation: Organisation | None
    received_s: float
    deadline_s: float
    caller_deadline_s: float

    @property
    def priority(self) -> int:
        """Return the rank of the call, zero first."""
        own = self.organisation.priority if self.organisation else None
        return self.route.priority if own is None else own


@frozen
class PrefillHelper:
    """A target that reads a part of a prompt for another one.

    :ivar reservation_id: reservation that stores the part; empty without one.
    """

    address: str
    reservation_id: str = ''


@frozen
class Attempt:
    """One sending of a call to one target.

    :ivar remaining_s: seconds that the target may take.
    :ivar last_event: number of the last event that the caller holds.
    """

    target: str
    remaining_s: float
    priority: int
    helpers: tuple[PrefillHelper, ...] = ()
    last_event: int | None = None


@frozen
class AnswerHead:
    """What a target says before its answer's content.

    :ivar is_sealed: whether the target signed the answer.
    :ivar not_run: whether it states that it did not run the call.
    :ivar at_fault: address or name of the target that could not be reached,
        where another one was to blame.
    """

    status: int
    request_id: str
    is_signed: bool
    not_run: bool
    at_fault: str
    forwarded_headers: RawHeaders

    @property
    def is_success(self) -> bool:
        """Return whether the status says that the call succeeded."""
        return 200 <= self.status < 300
