"""Detection of targets that ended under a call."""

import asyncio

from attrs import define, field, frozen

from trefoilhinge.dispatch.calls import Call
from trefoilhinge.dispatch.crash_evidence import EVENTS_UNDER_WAY
from trefoilhinge.dispatch.settings import parse_address
from trefoilhinge.dispatch.targets import TargetRecord
from trefoilhinge.dispatch.traits import list_traits
from trefoilhinge.gateway.evacuations import is_address_evacuated
from trefoilhinge.gateway.progress import CallProgress
from trefoilhinge.gateway.quarantine import Quarantine
from trefoilhinge.gateway.reach import ReachMonitor
from trefoilhinge.gateway.state import GatewayState
from trefoilhinge.gateway.tcp import open_tcp_connection

CHECK_TIMEOUT_S = 0.3  # a reachable machine refuses within milliseconds
MAXIMUM_WAIT_S = 0.03  # of a call that broke, before its next attempt
MAXIMUM_CHECKS = 64  # at a time, one for each target


@define
class CrashDetector:
    """Finds out whether a target ended when an answer broke.

    The connections of a faulty target, or of one behind a lossy link, end like
    those of a target that has ended. Only a new connection tells: the machine
    of a process that has ended refuses it. So may a cut between this instance
    and all targets, which is ruled out first.
    """

    _state: GatewayState
    _quarantine: Quarantine
    _reach: ReachMonitor
    _checks: dict[str, asyncio.Task[bool]] = field(factory=dict)
    _reports: set[asyncio.Task[None]] = field(factory=set)

    async def check(
        self, record: TargetRecord, call: Call, progress: CallProgress
    ) -> None:
        """Find out whether a target ended under a call, and report that.

        A target that was leaving has ended as planned, and one of an evacuated
        failure domain may not be probed. The caller waits
        ``MAXIMUM_WAIT_S`` at most, so that a retry knows of the crash.
        """
        departed = self._state.directory.departed
        if (record.name, record.started_ms) in departed or (
            is_address_evacuated(self._state, record.address)
        ):
            return
        check = self._checks.get(record.name)
        if check is None:
            if len(self._checks) >= MAXIMUM_CHECKS:
                return
            check = asyncio.ensure_future(_has_ended(record.address))
            self._checks[record.name] = check
            check.add_done_callback(lambda _: self._checks.pop(record.name))
        report = asyncio.ensure_future(
            self._report(
                check,
                record,
                call,
                _BrokenAttempt(
                    progress.attempt_events,
                    progress.attempt_sent_s,
                    self._state.get_now_s(),
                ),
            )
        )
        self._reports.add(report)
        report.add_done_callback(self._reports.discard)
        await asyncio.wait((report,), timeout=MAXIMUM_WAIT_S)

    def close(self) -> None:
        """Cancel all checks."""
        for task in (*self._reports, *self._checks.values()):
            task.cancel()

    async def _report(
        self,
        check: asyncio.Task[bool],
        record: TargetRecord,
        call: Call,
        attempt: '_BrokenAttempt',
    ) -> None:
        if not await check:
            return
        if await self._reach.is_isolated():
            self._state.log.write(
                'crash_doubted',
                request=call.head.request_id,
                target=record.name,
            )
            return
        self._state.metrics.increment('targets_crashed')
        self._state.log.write(
            'target_crashed',
            request=call.head.request_id,
            target=record.name,
            started_ms=record.started_ms,
            events=attempt.events,
            traits=','.join(list_traits(call)),
        )
        if attempt.events < EVENTS_UNDER_WAY:
            self._quarantine.report_crash(
                record, call, attempt.sent_s, attempt.broken_s
            )


@frozen
class _BrokenAttempt:
    events: int
    sent_s: float
    broken_s: float


async def _has_ended(address: str) -> bool:
    """Return whether the machine of a target refuses connections.

    :param address: ``host:port``.
    """
    try:
        _, writer = await open_tcp_connection(
            parse_address(address), CHECK_TIMEOUT_S
        )
    except ConnectionRefusedError:
        return True
    except OSError:
        # Nothing is known of a target that does not answer: the network may
        # be at fault.
        return False
    writer.transport.abort()
    return False
