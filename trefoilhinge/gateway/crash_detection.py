"""Detection of targets that ended under a call."""

import asyncio

from attrs import define, field

from trefoilhinge.dispatch.calls import Call
from trefoilhinge.dispatch.settings import parse_address
from trefoilhinge.dispatch.targets import TargetRecord
from trefoilhinge.gateway.progress import CallProgress
from trefoilhinge.gateway.state import GatewayState
from trefoilhinge.gateway.tcp import open_tcp_connection

CHECK_TIMEOUT_S = 0.3  # a reachable machine refuses within milliseconds
MAXIMUM_CHECKS = 64  # at a time, one for each target


@define
class CrashDetector:
    """Finds out whether a target ended when an answer broke.

    The connections of a faulty target, or of one behind a lossy link, end like
    those of a target that has ended. Only a new connection tells: the machine
    of a process that has ended refuses it.
    """

    _state: GatewayState
    _checks: dict[str, asyncio.Task[bool]] = field(factory=dict)
    _reports: set[asyncio.Task[None]] = field(factory=set)

    def check(
        self, record: TargetRecord, call: Call, progress: CallProgress
    ) -> None:
        """Find out in the background whether a target ended under a call.

        A target that was leaving has ended as planned.
        """
        departed = self._state.directory.departed
        if (record.name, record.started_ms) in departed:
            return
        check = self._checks.get(record.name)
        if check is None:
            if len(self._checks) >= MAXIMUM_CHECKS:
                return
            check = asyncio.ensure_future(_has_ended(record.address))
            self._checks[record.name] = check
            check.add_done_callback(lambda _: self._checks.pop(record.name))
        report = asyncio.ensure_future(
            self._report(check, record, call, progress.attempt_events)
        )
        self._reports.add(report)
        report.add_done_callback(self._reports.discard)

    def close(self) -> None:
        """Cancel all checks."""
        for task in (*self._reports, *self._checks.values()):
            task.cancel()

    async def _report(
        self,
        check: asyncio.Task[bool],
        record: TargetRecord,
        call: Call,
        events: int,
    ) -> None:
        if not await check:
            return
        self._state.metrics.increment('targets_crashed')
        self._state.log.write(
            'target_crashed',
            request=call.head.request_id,
            target=record.name,
            started_ms=record.started_ms,
            events=events,
            parts=','.join(call.head.prompt_parts) or None,
        )


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
