"""Learning of the rates that targets name, from answers and from peers."""

from trefoilhinge.dispatch.calls import AnswerHead
from trefoilhinge.dispatch.rate_limits import NamedRate
from trefoilhinge.dispatch.targets import TargetRecord
from trefoilhinge.gateway.peer_exchange import PeerExchange
from trefoilhinge.gateway.state import GatewayState

# 421 Misdirected Request: another target than the one that was asked.
_MISDIRECTED_STATUS = 421
OWN_ANSWER = 'answer'  # source of a limit in the log


def record_named_rate(
    state: GatewayState,
    peers: PeerExchange,
    record: TargetRecord,
    head: AnswerHead,
    sent_s: float,
) -> None:
    """Record the limit that an answer names and tell the peers.

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
    changed = peers.permits.apply_named_rate(named, OWN_ANSWER)
    known = state.rate_limits.find_named(record.name)
    now_s = state.get_now_s()
    if known is None or not (
        changed or state.rate_limits.needs_announcement(record.name, now_s)
    ):
        return
    state.rate_limits.record_announcement(record.name, now_s)
    peers.announce_named_rate(known, is_new=changed)


def _record_malformed(state: GatewayState, target: str, problem: str) -> None:
    state.metrics.increment('limits_malformed')
    if state.rate_limits.is_new_problem(target, problem):
        state.log.write('limit_malformed', target=target, problem=problem)
