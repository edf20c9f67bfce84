"""Acceptance of calls: route, organisation and the times of each."""

from trefoilhinge.dispatch.calls import Call, CallHead
from trefoilhinge.dispatch.documents import (
    FleetDocument,
    Organisation,
    Route,
)
from trefoilhinge.gateway.refusals import Refusal, make_stopping_refusal
from trefoilhinge.gateway.startup import find_startup_retry_after_s
from trefoilhinge.gateway.state import GatewayState
from trefoilhinge.gateway.stop_guard import make_plan


def accept_call(
    state: GatewayState,
    head: CallHead,
    body: bytes,
    received_s: float,
    relayed_by: str,
) -> Call | Refusal:
    """Return the call that a request makes, or why it is refused.

    :param received_s: monotonic seconds at which it began to arrive.
    :param relayed_by: IP address of the instance that took it; empty for
        requests of this instance's own callers.
    """
    document = state.document
    if document is None:
        return _refuse_without_document(state, head)
    found = find_route(document, head)
    if isinstance(found, Refusal):
        return found
    route, organisation = found
    timeout_s = route.timeout_s
    caller_deadline_s = received_s + timeout_s
    if head.timeout_s is not None:
        caller_deadline_s = received_s + head.timeout_s
        timeout_s = min(timeout_s, head.timeout_s)
    call = Call(
        head=head,
        body=body,
        route=route,
        service=route.choose_service(head.request_hash),
        organisation=organisation,
        received_s=received_s,
        deadline_s=received_s + timeout_s,
        caller_deadline_s=caller_deadline_s,
        relayed_by=relayed_by,
    )
    stop = state.stop
    if stop is not None and not stop.can_finish(
        make_plan(state, call), state.get_now_s()
    ):
        return make_stopping_refusal(None)
    return call


def find_route(
    document: FleetDocument, head: CallHead
) -> tuple[Route, Organisation | None] | Refusal:
    """Return the route and the organisation of a call, or why it has none."""
    route = document.find_route(head.host, head.path)
    if route is None:
        return Refusal(
            404, 'route_unknown', 'not_run', 'no route has this path'
        )
    organisation = document.find_organisation(head.api_key)
    needs_key = document.organisations is not None and not route.is_public
    if needs_key and organisation is None:
        return Refusal(
            401, 'key_unknown', 'not_run', 'no organisation has this key'
        )
    return route, organisation


def _refuse_without_document(state: GatewayState, head: CallHead) -> Refusal:
    if state.is_stopping:
        return make_stopping_refusal(None)
    outages = state.directory.outages
    return Refusal(
        503,
        'document_unknown',
        'not_run',
        'this instance has just started',
        find_startup_retry_after_s(
            head, is_store_unreachable=outages.unreachable_since_s is not None
        ),
        is_local=True,
    )
