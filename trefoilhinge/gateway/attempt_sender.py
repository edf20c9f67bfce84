"""Sends one call to the targets of a placement."""

import functools

from attrs import define, field

from trefoilhinge.dispatch.calls import Attempt, Call, PrefillHelper
from trefoilhinge.dispatch.group_placement import Placement
from trefoilhinge.dispatch.targets import TargetRecord
from trefoilhinge.gateway.attempt_recorder import AttemptRecorder
from trefoilhinge.gateway.cold_targets import take_cold_request
from trefoilhinge.gateway.connections.pool import (
    ConnectionPool,
    PooledConnection,
)
from trefoilhinge.gateway.evacuations import has_evacuated_target
from trefoilhinge.gateway.peer_exchange import PeerExchange
from trefoilhinge.gateway.placement import has_resting_target
from trefoilhinge.gateway.progress import CallProgress
from trefoilhinge.gateway.quarantine_gate import QuarantineGate
from trefoilhinge.gateway.reservations import Reservations, reserve
from trefoilhinge.gateway.silence_timeouts import find_answer_timeout_s
from trefoilhinge.gateway.state import GatewayState
from trefoilhinge.gateway.stop_guard import StopGuard
from trefoilhinge.gateway.target_connections import TargetConnection

LOWEST_PRIORITY = 9  # the platform's priorities are 0 to 9


@define
class AttemptSender:
    """Holds what the present attempt of a call uses at its targets."""

    _state: GatewayState
    _peers: PeerExchange
    _call: Call
    _progress: CallProgress
    _recorder: AttemptRecorder
    _gate: QuarantineGate
    _pool: ConnectionPool
    _stop_guard: StopGuard
    _pooled: PooledConnection | None = None
    _detached: list[PooledConnection] = field(factory=list)
    _reservations: Reservations | None = None

    async def prepare_helpers(
        self, placement: Placement
    ) -> tuple[PrefillHelper, ...] | None:
        """Reserve memory at the helpers if the placement asks for it.

        :return: the helpers, or ``None`` if memory could not be reserved.
        """
        records = self._state.directory.records
        addresses = [records[part.target].address for part in placement.parts]
        if not placement.reserved_tokens:
            return tuple(PrefillHelper(address) for address in addresses[1:])
        self._reservations = await reserve(
            self._state,
            self._peers,
            self._call.head.request_id,
            list(zip(addresses, placement.reserved_tokens, strict=False)),
        )
        if self._reservations is None:
            return None
        unreserved = addresses[len(placement.reserved_tokens) :]
        helpers = (PrefillHelper(address) for address in unreserved)
        return *self._reservations.helpers, *helpers

    async def send(
        self,
        placement: Placement,
        record: TargetRecord,
        helpers: tuple[PrefillHelper, ...],
    ) -> TargetConnection | None:
        """Send the call on a connection that was kept, or on a new one.

        :return: the connection, ``None`` if a target asked for rest, was
            evacuated or takes no more while cold.
        :raises CallFailed: the call is kept from targets, or this instance
            ends before the call could.
        :raises TargetUnreachable: the connection could not be opened.
        """
        connection = await self._connect(record, len(placement.parts))
        connection.silence_timeout_s = find_answer_timeout_s(
            self._call,
            placement,
            self._call.deadline_s - self._state.get_now_s(),
        )
        connection.is_paced = self._state.held_memory.is_bounded
        connection.find_backlog_s = functools.partial(
            self._find_backlog_s, record.name
        )
        await self._gate.enter()
        self._stop_guard.check()
        if has_resting_target(self._state, placement) or has_evacuated_target(
            self._state, placement
        ):
            return None
        if not take_cold_request(self._state, record):
            return None
        attempt = self._make_attempt(record.name, helpers)
        self._recorder.record_sent(placement, attempt)
        connection.send(self._call, attempt)
        return connection

    def close(self) -> None:
        """Close the connection, so that the target drops the call."""
        if self._pooled is not None:
            self._pool.discard(self._pooled)
            self._pooled = None

    def keep_connection(self) -> None:
        """Keep the connection, whose answer is complete, for later calls."""
        if self._pooled is not None:
            self._pool.put(self._pooled)
            self._pooled = None

    def suspend_reuse(self) -> float:
        """Keep no connection to the target for a time.

        :return: seconds for which the connection of this attempt was idle.
        """
        if self._pooled is None:
            return 0
        self._pool.suspend(self._pooled)
        return self._pooled.idle_s

    def record_reached(self) -> None:
        """Record that the service was reached.

        A connection that was kept proves this with its answer only.
        """
        self._state.reach.record_reached(
            self._call.service, self._state.get_now_s()
        )

    def detach(self) -> None:
        """Leave the connection open until the end of the call."""
        if self._pooled is not None:
            self._detached.append(self._pooled)
            self._pooled = None

    def discard_detached(self) -> None:
        """Close what was left open."""
        while self._detached:
            self._pool.discard(self._detached.pop())

    def release(self) -> None:
        """Release reserved memory."""
        if self._reservations is not None:
            self._reservations.release()
            self._reservations = None

    async def _connect(
        self, record: TargetRecord, targets: int
    ) -> TargetConnection:
        self._pooled = self._pool.take(
            record, self._call, self._progress.attempts, targets
        )
        if self._pooled is None:
            self._pooled = await self._pool.open(record, self._call)
            self.record_reached()
        return self._pooled.connection

    def _make_attempt(
        self, target: str, helpers: tuple[PrefillHelper, ...]
    ) -> Attempt:
        return Attempt(
            target=target,
            remaining_s=self._call.deadline_s - self._state.get_now_s(),
            priority=min(LOWEST_PRIORITY, self._call.priority),
            helpers=helpers,
            last_event=self._progress.last_event,
        )

    def _find_backlog_s(self, target: str) -> float:
        load = self._state.loads.get(target)
        return load.estimate_backlog_s(self._state.get_now_s())
