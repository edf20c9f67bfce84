"""Keeps connections to targets for later calls."""

import asyncio
import functools
import itertools
from collections import Counter
from collections.abc import Iterator

from attrs import define, evolve, field, frozen

from trefoilhinge.dispatch.calls import Call
from trefoilhinge.dispatch.connections.bounds import (
    compute_close_delay_s,
    compute_maximum_idle,
    compute_share,
)
from trefoilhinge.dispatch.connections.fitness import (
    CloseReason,
    find_unfitness,
)
from trefoilhinge.dispatch.connections.idle_table import (
    IdleConnection,
    IdleTable,
)
from trefoilhinge.dispatch.connections.idle_times import compute_idle_s
from trefoilhinge.dispatch.connections.reuse import may_keep, may_reuse
from trefoilhinge.dispatch.targets import TargetRecord
from trefoilhinge.gateway.state import GatewayState
from trefoilhinge.gateway.target_connections import (
    TargetConnection,
    open_target_connection,
)


@frozen(eq=False)
class PooledConnection:
    """A connection to a target, with what the pool knows of it.

    :ivar idle_s: seconds for which it was idle before this call.
    :ivar is_counted: whether the pool was on when it was opened.
    :ivar carried: hashes of the identifiers of the calls that it carried.
    """

    connection: TargetConnection
    record: TargetRecord
    number: int
    idle_s: float = 0
    is_counted: bool = False
    carried: set[int] = field(factory=set)


@define
class ConnectionPool:
    """The connections of an instance to its targets.

    With the pool off each call has a connection of its own, which neither
    side keeps open.
    """

    _state: GatewayState
    _idle: IdleTable = field(factory=IdleTable)
    _kept: dict[int, PooledConnection] = field(factory=dict)
    _closing: dict[int, asyncio.TimerHandle] = field(factory=dict)
    _in_use: Counter[str] = field(factory=Counter)
    _numbers: Iterator[int] = field(factory=lambda: itertools.count(1))

    @property
    def is_on(self) -> bool:
        """Return whether connections are kept."""
        document = self._state.document
        return document is not None and document.has_distant_domains

    def take(
        self, record: TargetRecord, call: Call, attempts: int, targets: int
    ) -> PooledConnection | None:
        """Return an idle connection that a call may use, if there is one.

        :param attempts: attempts of the call that were sent before.
        :param targets: targets of this attempt.
        """
        state = self._state
        if not self.is_on or not may_reuse(
            call,
            attempts,
            targets,
            allows_retry=state.allows_retry(call.service),
        ):
            return None
        request_hash = call.head.request_hash
        now_s = state.get_now_s()
        while idle := self._idle.take(record, request_hash, now_s):
            pooled = self._kept.pop(idle.number)
            if pooled.connection.reuse():
                state.metrics.increment('connections_reused')
                pooled.carried.add(request_hash)
                self._in_use[record.name] += 1
                return evolve(pooled, idle_s=now_s - idle.since_s)
            self._close(pooled, CloseReason.irregular)
        return None

    async def open(self, record: TargetRecord, call: Call) -> PooledConnection:
        """Open a connection for a call.

        :raises TargetUnreachable: it could not be opened within the timeout.
        """
        connection = await open_target_connection(record.address)
        is_on = self.is_on
        if is_on:
            connection.is_kept_open = may_keep(call)
            self._state.metrics.increment('connections_opened')
        self._in_use[record.name] += 1
        return PooledConnection(
            connection,
            record,
            next(self._numbers),
            is_counted=is_on,
            carried={call.head.request_hash},
        )

    def put(self, pooled: PooledConnection) -> None:
        """Keep a connection whose answer is complete, if it is fit."""
        self._end_use(pooled)
        reason = self._find_obstacle(pooled)
        if reason is not None:
            self._close(pooled, reason)
            return
        record = pooled.record
        now_s = self._state.get_now_s()
        idle = IdleConnection(
            pooled.number,
            record.incarnation,
            record.address,
            now_s,
            now_s + compute_idle_s(pooled.connection.keep_alive),
            pooled.carried,
        )
        self._idle.add(idle)
        self._kept[idle.number] = pooled
        pooled.connection.watch(functools.partial(self._handle_input, idle))

    def discard(self, pooled: PooledConnection) -> None:
        """Close a connection at once, so that the target drops its call."""
        self._end_use(pooled)
        self._close(pooled, CloseReason.unfinished)

    def suspend(self, pooled: PooledConnection) -> None:
        """Keep no connection to the target of one that had ended unnoticed."""
        idle_ones = self._idle.suspend(
            pooled.record.incarnation, self._state.get_now_s()
        )
        for idle in idle_ones:
            self._close_later(idle, CloseReason.suspended)

    def sweep(self) -> None:
        """Close the idle connections that no call may use any more.

        Those of targets that have departed are closed one after the other.
        """
        state = self._state
        if state.is_stopping or not self.is_on:
            reason = (
                CloseReason.stopping
                if state.is_stopping
                else CloseReason.switched_off
            )
            unusable = [(idle, reason) for idle in self._idle.remove_all()]
        else:
            unusable = self._idle.remove_unusable(
                self._find_record, state.get_now_s()
            )
        dropped: Counter[tuple[str, str]] = Counter()
        for idle, reason in unusable:
            if reason is CloseReason.expired:
                self._close(self._kept.pop(idle.number), reason)
            else:
                self._close_later(idle, reason)
                dropped[idle.incarnation[0], reason.value] += 1
        for (target, kind), count in dropped.items():
            state.log.write(
                'connections_dropped', target=target, reason=kind, count=count
            )
        if self.is_on:
            state.metrics.set_gauge('connections_idle', len(self._idle))

    def close(self) -> None:
        """Close all idle connections at once."""
        for handle in self._closing.values():
            handle.cancel()
        self._closing.clear()
        self._idle.remove_all()
        for pooled in self._kept.values():
            pooled.connection.close()
        self._kept.clear()

    def _find_obstacle(self, pooled: PooledConnection) -> CloseReason | None:
        """Return why a connection is not kept, if so."""
        state = self._state
        record = pooled.record
        exchange = pooled.connection.describe_exchange()
        if exchange is None:
            return CloseReason.unfinished
        unfitness = find_unfitness(exchange)
        if unfitness is not None:
            return unfitness
        if state.is_stopping:
            return CloseReason.stopping
        if not self.is_on:
            return CloseReason.switched_off
        known = self._find_record(record.name)
        if known is None or known.incarnation != record.incarnation:
            return CloseReason.departed
        if not compute_idle_s(pooled.connection.keep_alive):
            return CloseReason.ended
        if self._idle.is_suspended(record.incarnation, state.get_now_s()):
            return CloseReason.suspended
        return None if self._has_room(record) else CloseReason.full

    def _has_room(self, record: TargetRecord) -> bool:
        state = self._state
        settings = state.settings
        maximum = compute_maximum_idle(
            settings.descriptors, settings.memory_bytes
        )
        if len(self._kept) >= maximum or state.document is None:
            return False
        service = state.document.services.get(record.service)
        share = compute_share(
            service.maximum_connections if service else 0,
            record.name,
            settings.ip,
            state.peers.peers,
        )
        used = self._in_use[record.name] + self._idle.count_at(record.name)
        return used < share

    def _find_record(self, target: str) -> TargetRecord | None:
        """Return the record of a target that takes calls."""
        directory = self._state.directory
        record = directory.records.get(target)
        if record is None or record.incarnation in directory.departed:
            return None
        return record

    def _handle_input(self, idle: IdleConnection) -> None:
        """Close an idle connection on which something arrived."""
        self._idle.remove(idle)
        handle = self._closing.pop(idle.number, None)
        if handle is not None:
            handle.cancel()
        pooled = self._kept.pop(idle.number)
        reason = CloseReason.irregular
        if pooled.connection.is_ended:
            reason = CloseReason.ended
        else:
            self._state.log.write(
                'connection_irregular', target=pooled.record.name
            )
        self._close(pooled, reason)

    def _close_later(self, idle: IdleConnection, reason: CloseReason) -> None:
        self._closing[idle.number] = asyncio.get_running_loop().call_later(
            compute_close_delay_s(self._state.settings.ip, idle.number),
            self._close_delayed,
            idle.number,
            reason,
        )

    def _close_delayed(self, number: int, reason: CloseReason) -> None:
        self._closing.pop(number)
        self._close(self._kept.pop(number), reason)

    def _close(self, pooled: PooledConnection, reason: CloseReason) -> None:
        pooled.connection.close()
        if pooled.is_counted:
            self._state.metrics.increment(
                'connections_closed', reason=reason.value
            )

    def _end_use(self, pooled: PooledConnection) -> None:
        target = pooled.record.name
        self._in_use[target] -= 1
        if not self._in_use[target]:
            self._in_use.pop(target)
