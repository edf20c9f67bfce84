"""Choice of a call's targets, with permits where these named limits."""

import asyncio

from attrs import define

from trefoilhinge.dispatch.calls import Call
from trefoilhinge.dispatch.documents import REQUEST_HASH_VALUES
from trefoilhinge.dispatch.durations import (
    PLAIN_DURATION_S,
    estimate_duration_s,
)
from trefoilhinge.dispatch.group_placement import Placement
from trefoilhinge.dispatch.permits import PermitDecision, PermitVerdict
from trefoilhinge.dispatch.targets import TargetRecord
from trefoilhinge.gateway.admission.waiters import Admission
from trefoilhinge.gateway.cold_targets import compute_cold_wait_s, is_cold
from trefoilhinge.gateway.evacuations import is_service_evacuated
from trefoilhinge.gateway.permits import Permits, make_permit_request
from trefoilhinge.gateway.placement import (
    find_placement,
    list_limited,
    place_call,
)
from trefoilhinge.gateway.progress import CallProgress
from trefoilhinge.gateway.refusals import (
    CallFailed,
    Refusal,
    make_cold_refusal,
    make_evacuated_refusal,
    make_limited_refusal,
    make_no_target_refusal,
    make_resting_refusal,
)
from trefoilhinge.gateway.rest_queue import MAXIMUM_WAIT_S, RestQueue
from trefoilhinge.gateway.state import GatewayState
from trefoilhinge.gateway.stop_guard import StopGuard

# Limited targets that a call without other targets waits for in succession.
MAXIMUM_ASKED_TARGETS = 3
MINIMUM_COLD_WAIT_S = 0.02  # lets announcements of other instances arrive
COLD_SPREAD_S = 0.05  # between calls that wait for the same cold target


@define
class TargetChoice:
    """Chooses the targets of one call."""

    _state: GatewayState
    _permits: Permits
    _rest_queue: RestQueue
    _admission: Admission
    _call: Call
    _stop_guard: StopGuard

    async def choose(
        self, progress: CallProgress, excluded: set[str]
    ) -> tuple[Placement, int]:
        """Choose targets that may be sent the call now.

        :param excluded: targets that failed the call; used only if no other
            one is left.
        :return: the placement and the number of its run.
        :raises CallFailed: no target can take the call in time.
        """
        refused: set[str] = set()
        while True:
            placement, number = await self._find_placement(
                progress, excluded, refused
            )
            if placement is None:
                placement, number = await self._wait_for_limited(
                    progress, excluded
                )
                if placement is not None:
                    return placement, number
                refused.clear()
                continue
            record = self._find_limited_record(placement)
            if record is None:
                return placement, number
            is_granted = False
            try:
                decision = await self._ask(record, number, 0, excluded)
                is_granted = decision.verdict is PermitVerdict.granted
            finally:
                if not is_granted:
                    self.withdraw(number)
            if is_granted:
                return placement, number
            refused.add(record.name)

    def withdraw(self, number: int) -> None:
        """Tell the others that a call is not placed after all.

        :param number: number of the run that it was to be.
        """
        self._admission.withdraw(number)

    async def _find_placement(
        self, progress: CallProgress, excluded: set[str], refused: set[str]
    ) -> tuple[Placement | None, int]:
        """Return a placement and the number of its run, if there is one now.

        Where capacity is scarce, the call waits for its turn.

        :raises CallFailed: its turn does not come in time.
        """
        state = self._state
        if not state.admission.is_enabled:
            placement = find_placement(state, self._call, excluded, refused)
            number = 0 if placement is None else state.make_run_number()
            return placement, number
        return await self._admission.admit(
            self._call,
            progress,
            excluded,
            lambda blocked, full: find_placement(
                state, self._call, excluded, refused | blocked, full=full
            ),
        )

    async def _wait_for_limited(
        self, progress: CallProgress, excluded: set[str]
    ) -> tuple[Placement | None, int]:
        """Wait for a permit of a limited target.

        :return: the placement and the number of its run; no placement if a
            target without a limit can take the call meanwhile.
        :raises CallFailed: no limited target can take the call in time.
        """
        limited = list_limited(self._state, self._call, excluded)
        if not limited:
            await self._wait_for_rested(progress)
            return None, 0
        waits_s = []
        for record in limited[:MAXIMUM_ASKED_TARGETS]:
            number = self._state.make_run_number()
            decision = await self._ask(
                record, number, self._compute_patience_s(), excluded
            )
            if decision.verdict is PermitVerdict.granted:
                return place_call(self._state, self._call, [record]), number
            if self._has_unlimited(excluded):
                return None, 0
            waits_s.append(decision.wait_s)
        self._state.metrics.increment('calls_limited')
        spread = self._call.head.request_hash / REQUEST_HASH_VALUES
        raise CallFailed(make_limited_refusal(progress, min(waits_s), spread))

    async def _wait_for_rested(self, progress: CallProgress) -> None:
        """Wait until a target has rested that asked for it.

        :raises CallFailed: no target rests, or it rests for too long.
        """
        wait_s = self._rest_queue.estimate_wait_s(self._call)
        if wait_s is None and await self._wait_for_cold(progress):
            return
        if wait_s is None:
            raise CallFailed(self._make_no_target_refusal(progress))
        if wait_s > min(MAXIMUM_WAIT_S, self._compute_patience_s()):
            self._state.metrics.increment('calls_resting')
            raise CallFailed(make_resting_refusal(progress, wait_s))
        self._state.log.write(
            'rest_awaited', request=self._call.head.request_id, waits_s=wait_s
        )
        self._stop_guard.plan_wait(wait_s)
        await self._rest_queue.wait(self._call, wait_s)

    async def _wait_for_cold(self, progress: CallProgress) -> bool:
        """Wait until a cold target takes another request.

        :return: whether the call waited, as only cold targets are left.
        :raises CallFailed: none takes the call in time.
        """
        state = self._state
        waits_s = [
            compute_cold_wait_s(state, record)
            for record in state.directory.list_serving(self._call.service)
            if is_cold(state, record)
        ]
        wait_s = min((one for one in waits_s if one), default=None)
        if wait_s is None:
            return False
        spread = self._call.head.request_hash / REQUEST_HASH_VALUES
        if wait_s > min(MAXIMUM_WAIT_S, self._compute_patience_s()):
            state.metrics.increment('calls_cold')
            raise CallFailed(make_cold_refusal(progress, wait_s, spread))
        self._stop_guard.plan_wait(wait_s)
        await asyncio.sleep(
            max(MINIMUM_COLD_WAIT_S, wait_s) + spread * COLD_SPREAD_S
        )
        return True

    def _make_no_target_refusal(self, progress: CallProgress) -> Refusal:
        if is_service_evacuated(self._state, self._call.service):
            self._state.metrics.increment('calls_evacuated')
            spread = self._call.head.request_hash / REQUEST_HASH_VALUES
            return make_evacuated_refusal(progress, spread)
        return make_no_target_refusal(progress)

    async def _ask(
        self,
        record: TargetRecord,
        number: int,
        patience_s: float,
        excluded: set[str],
    ) -> PermitDecision:
        request = make_permit_request(
            self._state, record, number, self._call.priority, patience_s
        )
        decision = await self._permits.acquire(
            request,
            lambda: patience_s > 0 and self._has_unlimited(excluded),
            self._stop_guard.plan_wait,
        )
        self._log(record, decision)
        return decision

    def _has_unlimited(self, excluded: set[str]) -> bool:
        found = find_placement(
            self._state, self._call, excluded, allows_limited=False
        )
        return found is not None

    def _find_limited_record(self, placement: Placement) -> TargetRecord | None:
        record = self._state.directory.records[placement.parts[0].target]
        bucket = self._state.permits.get(record.name, record.started_ms)
        return None if bucket is None else record

    def _compute_patience_s(self) -> float:
        """Return for how long the call may wait and still end in time."""
        document = self._state.document
        size = self._call.head.prompt_size
        duration_s = PLAIN_DURATION_S
        if size is not None and document is not None:
            duration_s = estimate_duration_s(document, self._call.route, size)
        remaining_s = self._call.deadline_s - self._state.get_now_s()
        return max(0, remaining_s - duration_s)

    def _log(self, record: TargetRecord, decision: PermitDecision) -> None:
        state = self._state
        now_s = state.get_now_s()
        bucket = state.permits.get(record.name, record.started_ms)
        state.log.write(
            f'permit_{decision.verdict.value}',
            request=self._call.head.request_id,
            target=record.name,
            rate=state.rate_limits.get(record.name, record.started_ms),
            owner=self._permits.find_owner(record.name),
            level=None if bucket is None else bucket.get_level(now_s),
            instances=state.peers.count_instances(now_s),
            known=state.peers.count_known(),
            waits_s=decision.wait_s,
        )
