"""What each refusal means to a caller, and what to do about it.

Operators' pages are generated from this table, so that they cannot differ
from the codes.
"""

from collections.abc import Mapping

from attrs import frozen

from trefoilhinge.core.verdicts import RefusalCode, Verdict


@frozen
class RefusalAdvice:
    """One row of the table of refusals.

    :ivar verdicts: verdicts that the code may come with.
    :ivar meaning: what happened.
    :ivar advice: what a caller or an operator does.
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
        'Check the header `Authorization: Bearer th-...`; a new key works '
        'once the document that holds it is in force.',
    ),
    RefusalCode.NOT_FOUND: RefusalAdvice(
        _NOT_RUN,
        'There is nothing at the path, or no such service.',
        'Copy the path from the example of the service.',
    ),
    RefusalCode.BAD_REQUEST: RefusalAdvice(
        _NOT_RUN,
        'The request cannot be read, or a field or header has a wrong value.',
        'Change the line that the message names.',
    ),
    RefusalCode.TOO_LARGE: RefusalAdvice(
        _NOT_RUN,
        'The body or the prompt is longer than is taken.',
        'Send a shorter one; `limit` and `limit_value` say how long.',
    ),
    RefusalCode.SERVICE_FORBIDDEN: RefusalAdvice(
        _NOT_RUN,
        'The organisation may not call this service.',
        'The operator adds the service to the organisation.',
    ),
    RefusalCode.REQUEST_RATE: RefusalAdvice(
        _NOT_RUN,
        'The organisation has used up its requests a second.',
        'Wait for `Retry-After` seconds.',
    ),
    RefusalCode.TOKEN_RATE: RefusalAdvice(
        _NOT_RUN,
        'The organisation has used up its tokens a second.',
        'Wait for `Retry-After` seconds, or send shorter prompts.',
    ),
    RefusalCode.QUEUE_FULL: RefusalAdvice(
        _NOT_RUN,
        'As many calls wait as can end in time.',
        'Wait for `Retry-After` seconds.',
    ),
    RefusalCode.DEADLINE_TOO_SHORT: RefusalAdvice(
        _NOT_RUN,
        'The request could not end within its time.',
        'Allow more time with `X-Time-Limit-S`.',
    ),
    RefusalCode.DEADLINE_PASSED: RefusalAdvice(
        _UNCERTAIN,
        'The time of the request ran out.',
        'Allow more time; send it again only by its verdict.',
    ),
    RefusalCode.NO_TARGET: RefusalAdvice(
        _NOT_RUN,
        'No target of the service can take the call.',
        'Wait and try again; the operator looks at `trefoilhinge status`.',
    ),
    RefusalCode.TARGET_FAILED: RefusalAdvice(
        _UNCERTAIN,
        'Targets failed and the call was not tried again.',
        'Send it again if it may be repeated, or if the verdict is `not_run`.',
    ),
    RefusalCode.ANSWER_INCOMPLETE: RefusalAdvice(
        _MAY_HAVE_RUN,
        'The answer broke off before its end.',
        'Throw away what came; send it again if it may be repeated.',
    ),
    RefusalCode.KEY_IN_USE: RefusalAdvice(
        _ANY,
        'A call with this idempotency key is still in progress.',
        'Wait and ask again with the same key.',
    ),
    RefusalCode.KEY_EXPIRED: RefusalAdvice(
        _MAY_HAVE_RUN,
        'The idempotency key is too old to know whether it was used.',
        'Look whether the call took effect before you use a new key.',
    ),
    RefusalCode.KEY_OWNER_GONE: RefusalAdvice(
        _MAY_HAVE_RUN,
        'The instance that owns the idempotency key cannot be reached.',
        'Look whether the call took effect before you use a new key.',
    ),
    RefusalCode.KEY_UNKNOWN: RefusalAdvice(
        _NOT_RUN,
        'The idempotency key was not minted for this organisation.',
        'Mint a key with `POST /v1/idempotency-keys`.',
    ),
    RefusalCode.ALREADY_RAN: RefusalAdvice(
        (Verdict.RAN, Verdict.MAY_HAVE_RUN),
        'A call with this idempotency key was already sent.',
        'Do not send it again; a new call takes a new key.',
    ),
    RefusalCode.STOPPING: RefusalAdvice(
        _NOT_RUN,
        'The instance is stopping.',
        'Send it again at once; the balancer chooses another instance.',
    ),
    RefusalCode.NOT_READY: RefusalAdvice(
        _NOT_RUN,
        'The instance has no document yet.',
        'Wait for `Retry-After` seconds.',
    ),
    RefusalCode.OVERLOADED: RefusalAdvice(
        _NOT_RUN,
        'The instance holds as many calls, connections or keys as it may.',
        'Wait for `Retry-After` seconds.',
    ),
    RefusalCode.SLOW_SENDER: RefusalAdvice(
        _NOT_RUN,
        'The request did not arrive in full in time.',
        'Send it again over a faster connection.',
    ),
}
