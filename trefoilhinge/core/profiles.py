"""What the cores know of a call, never its prompt or its API key."""

from attrs import frozen

from trefoilhinge.core.identifiers import RequestId


@frozen
class CallProfile:
    """One admitted or refused call, as the decisions see it.

    :ivar request_id: identifier minted by the receiving instance.
    :ivar organisation: name of the organisation that owns the API key.
    :ivar service: name of the service of the document.
    :ivar model: true for a model engine, false for a plain service.
    :ivar path: path below the service.
    :ivar idempotent: whether the call may run more than once.
    :ivar key: the caller's or the minted idempotency key, empty if none.
    :ivar body_digest: digest of the body, to tell a reused key.
    :ivar prompt_tokens: estimated prompt length in tokens.
    :ivar output_tokens: bound on generated tokens.
    :ivar prefix_digests: digests of the prompt's leading blocks, in order.
    :ivar priority: larger is served sooner by an engine.
    :ivar deadline_s: monotonic seconds by which the call must have ended.
    :ivar received_s: monotonic seconds at which the call was received.
    :ivar forwarded: whether a peer passed the call on to this instance.
    """

    request_id: RequestId
    organisation: str
    service: str
    model: bool
    path: str
    idempotent: bool
    key: str
    body_digest: str
    prompt_tokens: int
    output_tokens: int
    prefix_digests: tuple[int, ...]
    priority: int
    deadline_s: float
    received_s: float
    forwarded: bool = False

    @property
    def total_tokens(self) -> int:
        """Return the tokens that the call may cost: prompt and output."""
        return self.prompt_tokens + self.output_tokens
