"""Spreading of short calls by the demand that all instances tell of."""

from attrs import define, field

from trefoilhinge.dispatch.calls import Call
from trefoilhinge.dispatch.demand.spreading import (
    UnseenStarts,
    estimate_unseen_starts,
)
from trefoilhinge.dispatch.estimation.switch import uses_learned_costs
from trefoilhinge.gateway.state import GatewayState

LOGGED_CHANGE = 2  # a factor, so that noise of the rate gives few lines


def estimate_unseen(
    state: GatewayState, call: Call, targets: int
) -> UnseenStarts | None:
    """Return the short calls that other instances are placing.

    :param targets: number of targets that the call may be placed on.
    :return: none where calls are not placed by learned costs.
    """
    if not uses_learned_costs(state.settings, state.document):
        return None
    return _estimate(state, call.service, targets, call.head.request_hash)


@define
class DemandReport:
    """Logs the demand of short calls and sets its gauge."""

    _state: GatewayState
    _logged: dict[str, int] = field(factory=dict)

    def update(self) -> None:
        """Report the present demand; called at intervals."""
        state = self._state
        if not uses_learned_costs(state.settings, state.document):
            return
        now_s = state.get_now_s()
        calls_per_s = 0.0  # noqa: WPS358
        for service in state.demand.list_services():
            calls_per_s += state.demand.estimate(service, now_s).calls_per_s
            self._log_change(service)
        state.metrics.set_gauge('short_calls_per_second', calls_per_s)

    def _log_change(self, service: str) -> None:
        state = self._state
        targets = len(state.directory.list_serving(service))
        unseen = _estimate(state, service, targets, 0)
        before = self._logged.get(service, 1)
        smaller, larger = sorted((unseen.choices, before))
        if larger < LOGGED_CHANGE * smaller:
            return
        self._logged[service] = unseen.choices
        demand = state.demand.estimate(service, state.get_now_s())
        state.log.write(
            'short_calls_spread',
            service=service,
            choices=unseen.choices,
            before=before,
            targets=targets,
            unseen=unseen.count,
            rate=demand.calls_per_s,
            prefill_share=demand.prefill_share,
        )


def _estimate(
    state: GatewayState, service: str, targets: int, request_hash: int
) -> UnseenStarts:
    found = state.document.services.get(service) if state.document else None
    engine = found.engine if found else None
    delays_s = engine.domain_delays_s.values() if engine else ()
    demand = state.demand.estimate(service, state.get_now_s())
    return estimate_unseen_starts(
        demand.calls_per_s, max(delays_s, default=0), targets, request_hash
    )
