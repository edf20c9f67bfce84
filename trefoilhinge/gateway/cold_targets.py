"""Requests to cold targets, and what is known of them at this instance."""

from collections.abc import Callable

from attrs import define

from trefoilhinge.dispatch.calls import Call
from trefoilhinge.dispatch.costs import LOSS_START_RATIO
from trefoilhinge.dispatch.group_placement import Placement
from trefoilhinge.dispatch.targets import TargetRecord
from trefoilhinge.dispatch.warmup.codec import TargetCold
from trefoilhinge.dispatch.warmup.cold_targets import ColdLimits
from trefoilhinge.gateway.state import GatewayState


@define
class ColdNews:
    """Learns which targets are cold, and tells the peers."""

    _state: GatewayState
    _send_to_each: Callable[[TargetCold], None]

    def apply_entry(self, record: TargetRecord, *, is_new: bool) -> None:
        """Apply the entry of a target.

        :param is_new: whether the incarnation was not known before, while
            others were.
        """
        limits, cold_s = _find_service(self._state, record.service)
        if limits is None:
            return
        started_s = cold_s if is_new and record.started_ms else 0
        self._mark(record, max(record.cold_s, started_s), 'store')

    def apply_answer(self, record: TargetRecord, cold_s: float | None) -> None:
        """Apply what the answer of a target says."""
        if cold_s is None or find_cold_limits(self._state, record) is None:
            return
        if cold_s:
            self._mark(record, cold_s, 'answer')
        elif is_cold(self._state, record):
            self._state.cold.mark_warm(record.incarnation)
            self._state.log.write('target_warm', target=record.name)

    def apply_message(self, message: TargetCold, ip: str) -> None:
        """Apply the announcement of a peer."""
        incarnation = message.name, message.started_ms
        now_s = self._state.get_now_s()
        if self._state.cold.mark(incarnation, message.cold_s, now_s):
            self._log(message.name, message.cold_s, f'peer {ip}')

    def list_announcements(self) -> list[TargetCold]:
        """Return what a new peer is told."""
        remaining = self._state.cold.list_remaining(self._state.get_now_s())
        return [
            TargetCold(name, started_ms, cold_s)
            for (name, started_ms), cold_s in remaining
        ]

    def _mark(self, record: TargetRecord, cold_s: float, source: str) -> None:
        now_s = self._state.get_now_s()
        if self._state.cold.mark(record.incarnation, cold_s, now_s):
            self._log(record.name, cold_s, source)
            self._send_to_each(
                TargetCold(record.name, record.started_ms, cold_s)
            )

    def _log(self, name: str, cold_s: float, source: str) -> None:
        self._state.log.write(
            'target_cold', target=name, cold_s=cold_s, source=source
        )
        self._state.metrics.increment('targets_cold')


def find_cold_limits(
    state: GatewayState, record: TargetRecord
) -> ColdLimits | None:
    """Return the limits on a target while it is cold, none without any."""
    return _find_service(state, record.service)[0]


def is_cold(state: GatewayState, record: TargetRecord) -> bool:
    """Return whether a target is cold."""
    return not state.cold.is_empty and state.cold.is_cold(
        record.incarnation, state.get_now_s()
    )


def compute_cold_wait_s(state: GatewayState, record: TargetRecord) -> float:
    """Return seconds until a run may be placed at a target."""
    if not is_cold(state, record):
        return 0
    limits = find_cold_limits(state, record)
    now_s = state.get_now_s()
    if limits is None:
        return 0
    _update_instances(state, now_s)
    wait_s = state.cold.compute_wait_s(record.incarnation, limits, now_s)
    # An instance that starts does not know yet how many others share a target.
    return wait_s if state.check_settled() else max(wait_s, 1)


def take_cold_request(state: GatewayState, record: TargetRecord) -> bool:
    """Count a request that is sent now; return whether it may be."""
    if not is_cold(state, record):
        return True
    limits = find_cold_limits(state, record)
    if limits is None:
        return True
    now_s = state.get_now_s()
    _update_instances(state, now_s)
    if not state.cold.take(record.incarnation, limits, now_s):
        state.metrics.increment('cold_sends_denied')
        return False
    state.metrics.increment('cold_sends')
    return True


def has_cold_group(state: GatewayState, placement: Placement) -> bool:
    """Return whether a target of a group turned cold meanwhile.

    A group sends its members requests that no instance counts.
    """
    records = state.directory.records
    return len(placement.parts) > 1 and any(
        is_cold(state, records[part.target])
        for part in placement.parts
        if part.target in records
    )


def is_late(state: GatewayState, call: Call, placement: Placement) -> bool:
    """Return whether warm targets have no room for a call.

    :param placement: its placement on warm targets.
    """
    record = state.directory.records[placement.parts[0].target]
    if state.loads.get(record.name).running >= record.slots:
        return True
    return placement.first_event_s > LOSS_START_RATIO * call.route.slo_s


def _update_instances(state: GatewayState, now_s: float) -> None:
    if not state.cold.needs_others(now_s):
        return
    known = state.instances.list_known(now_s)
    others = known.union(state.settings.seeds)
    state.cold.update_others(others - {state.settings.ip}, now_s)


def _find_service(
    state: GatewayState, name: str
) -> tuple[ColdLimits | None, float]:
    """Return the limits of a service's cold targets, and their usual time."""
    bounds = state.settings.bounds
    document = state.document
    service = document.services.get(name) if document else None
    if service is None or not (
        service.cold_requests_per_s > 0 and bounds.cold_ratio > 0
    ):
        return None, 0
    rate = service.cold_requests_per_s
    limits = ColdLimits(rate, rate * bounds.cold_ratio + bounds.cold_slack)
    return limits, service.cold_s
