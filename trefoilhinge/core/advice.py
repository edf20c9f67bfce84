"""Meaning of each refusal code and the recommended action.

The reference page on errors is generated from this table, so that the two
cannot diverge.
"""

from collections.abc import Mapping

from attrs import frozen

from trefoilhinge.core.verdicts import RefusalCode, Verdict


@frozen
class RefusalAdvice:
    """Description of a refusal code.

    :ivar verdicts: verdicts that may accompany the code.
    :ivar meaning: cause of the refusal.
    :ivar advice: recommended action for the caller or the operator.
    """

    verdicts: tuple[Verdict, ...]
    meaning: str
    advice: str


_NOT_RUN = (Verdict.NOT_RUN,)
_UNCERTAIN = (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN)
_MAY_HAVE_RUN = (Verdict.MAY_HAVE_RUN,)
_ANY = tuple(Verdict)

REFUSAL_ADVICE: Mapping[RefusalCode, RefusalAdvice] = {
    RefusalCode.UNKNOWN_KEY: RefusalAdvice(
        _NOT_RUN,
        'The API key is not in the document in force.',
        'Check the header `Authorization: Bearer th-...`; a new key is '
        'accepted once the document that contains it is in force.',
    ),
    RefusalCode.NOT_FOUND: RefusalAdvice(
        _NOT_RUN,
        'The path or the service does not exist.',
        'Copy the path from the example of the service.',
    ),
    RefusalCode.BAD_REQUEST: RefusalAdvice(
        _NOT_RUN,
        'The request is malformed, or a field or header has an invalid value.',
        'Correct the line named in the message.',
    ),
    RefusalCode.TOO_LARGE: RefusalAdvice(
        _NOT_RUN,
        'The body or the prompt exceeds the maximum length.',
        'Send a shorter one; `limit` and `limit_value` give the maximum.',
    ),
    RefusalCode.SERVICE_FORBIDDEN: RefusalAdvice(
        _NOT_RUN,
        'The organisation is not permitted to call this service.',
        'Ask the operator to add the service to the organisation.',
    ),
    RefusalCode.REQUEST_RATE: RefusalAdvice(
        _NOT_RUN,
        'The organisation exceeded its request rate limit.',
        'Wait for `Retry-After` seconds.',
    ),
    RefusalCode.TOKEN_RATE: RefusalAdvice(
        _NOT_RUN,
        'The organisation exceeded its token rate limit.',
        'Wait for `Retry-After` seconds, or send shorter prompts.',
    ),
    RefusalCode.QUEUE_FULL: RefusalAdvice(
        _NOT_RUN,
        'The queue holds as many calls as can finish before their deadlines.',
        'Wait for `Retry-After` seconds.',
    ),
    RefusalCode.DEADLINE_TOO_SHORT: RefusalAdvice(
        _NOT_RUN,
        'The request could not finish before its deadline.',
        'Raise the time limit with `X-Time-Limit-S`.',
    ),
    RefusalCode.DEADLINE_PASSED: RefusalAdvice(
        _UNCERTAIN,
        'The deadline of the request passed.',
        'Raise the time limit; retry only if the verdict permits it.',
    ),
    RefusalCode.NO_TARGET: RefusalAdvice(
        _NOT_RUN,
        'No target of the service can accept the call.',
        'Retry later; the operator checks `trefoilhinge status`.',
    ),
    RefusalCode.TARGET_FAILED: RefusalAdvice(
        _UNCERTAIN,
        'Targets failed and the call was not retried.',
        'Retry if the call is idempotent or the verdict is `not_run`.',
    ),
    RefusalCode.ANSWER_INCOMPLETE: RefusalAdvice(
        _MAY_HAVE_RUN,
        'The response ended before it was complete.',
        'Discard the partial response; retry if the call is idempotent.',
    ),
    RefusalCode.KEY_IN_USE: RefusalAdvice(
        _ANY,
        'A call with this idempotency key is still in progress.',
        'Wait and retry with the same key.',
    ),
    RefusalCode.KEY_EXPIRED: RefusalAdvice(
        _MAY_HAVE_RUN,
        'The idempotency key expired, so it is unknown whether it was used.',
        'Check whether the call took effect before you use a new key.',
    ),
    RefusalCode.KEY_OWNER_GONE: RefusalAdvice(
        _MAY_HAVE_RUN,
        'The instance that owns the idempotency key is unreachable.',
        'Check whether the call took effect before you use a new key.',
    ),
    RefusalCode.KEY_UNKNOWN: RefusalAdvice(
        _NOT_RUN,
        'The idempotency key was not issued to this organisation.',
        'Request a key with `POST /v1/idempotency-keys`.',
    ),
    RefusalCode.ALREADY_RAN: RefusalAdvice(
        (Verdict.RAN, Verdict.MAY_HAVE_RUN),
        'A call with this idempotency key was already sent.',
        'Do not retry; use a new key for a new call.',
    ),
    RefusalCode.STOPPING: RefusalAdvice(
        (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN),
        'The instance is stopping.',
        'Retry at once with the same idempotency key, if any; the load '
        'balancer selects another instance.',
    ),
    RefusalCode.NOT_READY: RefusalAdvice(
        _NOT_RUN,
        'The instance has not loaded a document yet.',
        'Wait for `Retry-After` seconds.',
    ),
    RefusalCode.OVERLOADED: RefusalAdvice(
        _NOT_RUN,
        'The instance reached its limit of calls, connections or keys.',
        'Wait for `Retry-After` seconds.',
    ),
    RefusalCode.SLOW_SENDER: RefusalAdvice(
        _NOT_RUN,
        'The request was not received completely within the time limit.',
        'Retry over a faster connection.',
    ),
}
