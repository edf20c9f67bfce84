"""Learning what targets ask of this instance in their answers."""

from http import HTTPStatus

from trefoilhinge.dispatch.calls import AnswerHead
from trefoilhinge.dispatch.targets import TargetRecord
from trefoilhinge.gateway.peer_exchange import PeerExchange
from trefoilhinge.gateway.state import GatewayState


def record_needs(
    state: GatewayState,
    peers: PeerExchange,
    record: TargetRecord,
    head: AnswerHead,
) -> None:
    """Record what the answer of a target asks for.

    A target that says it leaves departs before the store says so, for this
    incarnation; the peers are told.
    """
    if head.is_leaving and state.directory.mark_departed(record):
        state.log.write('target_left', target=record.name, source='answer')
        peers.broadcast_target_leaving(record, record.revision)
    peers.cold_targets.apply_answer(record, head.cold_s)
    if head.rest_s or head.rest_problem:
        _record_rest(state, record, head)


def record_claim(
    state: GatewayState, record: TargetRecord, head: AnswerHead, request: str
) -> None:
    """Record whether the target at an address took a call under its name.

    :param request: identifier of the call.
    """
    directory = state.directory
    if head.status != HTTPStatus.MISDIRECTED_REQUEST:
        directory.claims.record_answer(record)
    elif directory.refute(record, state.get_now_s()):
        state.log.write(
            'target_misdirected',
            request=request,
            target=record.name,
            address=record.address,
            revision=record.revision,
        )


def _record_rest(
    state: GatewayState, record: TargetRecord, head: AnswerHead
) -> None:
    """Record the rest that an answer asks for.

    An answer that blames another target may speak for that one as well.
    """
    if head.rest_problem:
        state.metrics.increment('rests_malformed')
        if state.rests.is_new_problem(record.name, head.rest_problem):
            state.log.write(
                'rest_malformed', target=record.name, problem=head.rest_problem
            )
    if not head.rest_s:
        return
    now_s = state.get_now_s()
    for resting in (record, *_list_blamed(state, head.at_fault)):
        if state.rests.record(resting, head.rest_s, now_s):
            state.metrics.increment('rests')
            state.log.write(
                'target_rests', target=resting.name, rest_s=head.rest_s
            )


def find_record(state: GatewayState, address: str) -> TargetRecord | None:
    """Return the latest believed incarnation at an address, if any is known."""
    found = [
        record
        for record in state.directory.records.values()
        if record.address == address
    ]
    if not found:
        return None
    usable = state.directory.claims.select(found)
    return max(usable, key=lambda record: record.started_ms)


def _list_blamed(state: GatewayState, at_fault: str) -> list[TargetRecord]:
    if not at_fault:
        return []
    return [
        record
        for record in state.directory.records.values()
        if at_fault in {record.name, record.address}
    ]
