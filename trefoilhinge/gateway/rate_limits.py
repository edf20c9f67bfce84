"""Learning of the rates that targets name in their answers."""

from trefoilhinge.dispatch.calls import AnswerHead
from trefoilhinge.dispatch.rate_limits import NamedRate
from trefoilhinge.dispatch.targets import TargetRecord
from trefoilhinge.gateway.state import GatewayState

# 421 Misdirected Request: another target than the one that was asked.
_MISDIRECTED_STATUS = 421
OWN_ANSWER = 'answer'


def record_named_rate(
    state: GatewayState,
    record: TargetRecord,
    head: AnswerHead,
    sent_s: float,
) -> None:
    """Record the limit that an answer names.

    An answer without a limit ends a known one only if the target signed it: a
    rejection may come from a part of the target that does not know its limit.

    :param sent_s: monotonic seconds at which the request was sent.
    """
    if head.status == _MISDIRECTED_STATUS:
        return
    if head.rate_problem:
        _record_malformed(state, record.name, head.rate_problem)
        return
    if head.requests_per_s is None and not head.is_signed:
        return
    named = NamedRate(
        record.name,
        record.started_ms,
        head.requests_per_s,
        sent_s,
        state.get_now_s(),
    )
    apply_named_rate(state, named, OWN_ANSWER)


def apply_named_rate(
    state: GatewayState, named: NamedRate, source: str
) -> bool:
    """Apply a limit and log a change.

    :param source: who named it, for the log.
    :return: whether the limit changed.
    """
    before = state.rate_limits.record(named)
    if before is None:
        return False
    rate = named.requests_per_s
    state.log.write(
        'target_limit_ended' if rate is None else 'target_limited',
        target=named.target,
        rate=rate,
        before=before.requests_per_s,
        source=source,
    )
    state.metrics.set_gauge(
        'targets_limited', len(state.rate_limits.list_limits())
    )
    return True


def _record_malformed(state: GatewayState, target: str, problem: str) -> None:
    state.metrics.increment('limits_malformed')
    if state.rate_limits.is_new_problem(target, problem):
        state.log.write('limit_malformed', target=target, problem=problem)
