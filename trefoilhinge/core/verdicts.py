"""Verdicts on whether a request ran, and refusals sent to callers."""

import enum

from attrs import frozen


class Verdict(enum.StrEnum):
    """Whether a request without a complete response was executed."""

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    RAN = 'ran'


class RefusalCode(enum.StrEnum):
    """Codes of refusals; part of the public interface."""

    UNKNOWN_KEY = 'unknown_key'
    NOT_FOUND = 'not_found'
    BAD_REQUEST = 'bad_request'
    TOO_LARGE = 'too_large'
    SERVICE_FORBIDDEN = 'service_forbidden'
    REQUEST_RATE = 'request_rate'
    TOKEN_RATE = 'token_rate'
    QUEUE_FULL = 'queue_full'
    DEADLINE_TOO_SHORT = 'deadline_too_short'
    DEADLINE_PASSED = 'deadline_passed'
    NO_TARGET = 'no_target'
    TARGET_FAILED = 'target_failed'
    ANSWER_INCOMPLETE = 'answer_incomplete'
    KEY_IN_USE = 'key_in_use'
    KEY_EXPIRED = 'key_expired'
    KEY_OWNER_GONE = 'key_owner_gone'
    KEY_UNKNOWN = 'key_unknown'
    ALREADY_RAN = 'already_ran'
    STOPPING = 'stopping'
    NOT_READY = 'not_ready'
    OVERLOADED = 'overloaded'
    SLOW_SENDER = 'slow_sender'


HTTP_STATUS = {
    RefusalCode.UNKNOWN_KEY: 401,
    RefusalCode.NOT_FOUND: 404,
    RefusalCode.BAD_REQUEST: 400,
    RefusalCode.TOO_LARGE: 413,
    RefusalCode.SERVICE_FORBIDDEN: 403,
    RefusalCode.REQUEST_RATE: 429,
    RefusalCode.TOKEN_RATE: 429,
    RefusalCode.QUEUE_FULL: 503,
    RefusalCode.DEADLINE_TOO_SHORT: 503,
    RefusalCode.DEADLINE_PASSED: 504,
    RefusalCode.NO_TARGET: 503,
    RefusalCode.TARGET_FAILED: 502,
    RefusalCode.ANSWER_INCOMPLETE: 502,
    RefusalCode.KEY_IN_USE: 409,
    RefusalCode.KEY_EXPIRED: 409,
    RefusalCode.KEY_OWNER_GONE: 409,
    RefusalCode.KEY_UNKNOWN: 409,
    RefusalCode.ALREADY_RAN: 409,
    RefusalCode.STOPPING: 503,
    RefusalCode.NOT_READY: 503,
    RefusalCode.OVERLOADED: 503,
    RefusalCode.SLOW_SENDER: 408,
}


@frozen
class Refusal:
    """Final response other than the complete response of a target.

    :ivar code: code of the refusal.
    :ivar verdict: whether the request may have run.
    :ivar message: cause and remedy, in one or two sentences.
    :ivar limit: name of the limit that was reached, empty if none.
    :ivar limit_value: value of the limit, in the unit given by its name.
    :ivar retry_after_s: seconds after which to retry, none if a retry would
        fail as well.
    :ivar example: corrected line of the example request.
    """

    code: RefusalCode
    verdict: Verdict
    message: str
    limit: str = ''
    limit_value: float | None = None
    retry_after_s: float | None = None
    example: str = ''

    @property
    def status(self) -> int:
        """Return the HTTP status code of the refusal."""
        return HTTP_STATUS[self.code]


def refuse_not_run(
    code: RefusalCode,
    message: str,
    *,
    limit: str = '',
    limit_value: float | None = None,
    retry_after_s: float | None = None,
    example: str = '',
) -> Refusal:
    """Return a refusal of a request that did not run."""
    return Refusal(
        code=code,
        verdict=Verdict.NOT_RUN,
        message=message,
        limit=limit,
        limit_value=limit_value,
        retry_after_s=retry_after_s,
        example=example,
    )


def refuse_not_ready() -> Refusal:
    """Return the refusal of a request to an instance without a document."""
    return refuse_not_run(
        RefusalCode.NOT_READY,
        'This instance has no configuration yet; try again.',
        retry_after_s=1,
    )


def refuse_stopping() -> Refusal:
    """Return the refusal of a request that reached a stopping instance."""
    return refuse_not_run(
        RefusalCode.STOPPING,
        'This instance is stopping; send the request again.',
        retry_after_s=1,
    )
