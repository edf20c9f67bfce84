"""Finds out which services this instance reaches no target of."""

import asyncio
from collections.abc import Callable, Sequence

from attrs import define, field

from trefoilhinge.dispatch.messages import ServicesUnreachable
from trefoilhinge.dispatch.settings import parse_address
from trefoilhinge.dispatch.targets import TargetRecord
from trefoilhinge.gateway.liveness import probe_target
from trefoilhinge.gateway.state import GatewayState
from trefoilhinge.gateway.target_connections import AnswerBroken
from trefoilhinge.gateway.tcp import open_tcp_connection

CHECKED_TARGETS = 4  # that must all fail before a service is unreachable
CHECK_TIMEOUT_S = 0.3  # a reachable target accepts in a few milliseconds
# A check that took this much longer says more about this process than about
# the network.
MAXIMUM_LAG_S = 0.1
FRESH_S = 0.1  # a target that was reached this lately disproves a suspicion
ANNOUNCED_FRESH_S = 1.0  # the same, if only a peer raised the suspicion
PROBE_SUSPICION_S = 0.1  # without an answer of the target that is probed
PROBE_INTERVAL_S = 0.5  # while a service is unreachable
PROBED_TARGETS = 2  # each time, in turn
# Repetition of an announcement whose datagram may have been lost.
ANNOUNCEMENT_INTERVAL_S = 1.0


@define
class ReachMonitor:
    """Checks suspicions, and probes unreachable services until they return.

    A failed call is only a suspicion: its target may be gone. The check opens
    connections to targets of several failure domains and sends nothing.
    """

    _state: GatewayState
    _broadcast: Callable[[ServicesUnreachable], None]
    _checks: dict[str, asyncio.Task[None]] = field(factory=dict)
    _announced_s: float = float('-inf')

    def suspect(self, service: str, fresh_s: float = FRESH_S) -> None:
        """Check a service unless it was reached just now.

        :param fresh_s: seconds that count as just now.
        """
        reach = self._state.reach
        if service in self._checks or reach.is_unreachable(service):
            return
        age_s = reach.compute_reached_age_s(service, self._state.get_now_s())
        if age_s is not None and age_s < fresh_s:
            return
        check = asyncio.ensure_future(self._check(service))
        self._checks[service] = check
        check.add_done_callback(lambda _: self._checks.pop(service))

    def suspect_all(self, fresh_s: float = FRESH_S) -> None:
        """Check all services that were not reached just now."""
        for service in self._list_serving():
            self.suspect(service, fresh_s)

    def apply_message(self, message: ServicesUnreachable) -> None:
        """Apply the announcement of a peer.

        A cut may take a whole failure domain, so its members check themselves.
        """
        state = self._state
        ip = message.origin.partition('/')[0]
        is_new = state.relay_peers.record_announcement(
            ip, message.services, state.get_now_s()
        )
        peer = state.peers.peers.get(ip)
        if is_new and peer is not None:
            if peer.failure_domain == state.settings.failure_domain:
                for service in message.services:
                    self.suspect(service, ANNOUNCED_FRESH_S)

    async def settle(self, service: str) -> None:
        """Wait for the check of a service, if one is in progress."""
        check = self._checks.get(service)
        if check is not None:
            await asyncio.wait((check,))

    async def is_isolated(self) -> bool:
        """Return whether no service is reached while a peer may reach one.

        All services are checked first.
        """
        self.suspect_all(fresh_s=0)
        for service in tuple(self._checks):
            await self.settle(service)
        state = self._state
        now_s = state.get_now_s()
        serving = self._list_serving()
        return all(map(state.reach.is_unreachable, serving)) and any(
            state.relay_peers.may_reach(ip, service, now_s)
            for ip in state.peers.list_live(now_s)
            for service in serving
        )

    async def wait_until_unreachable(self, service: str) -> None:
        """Check a service, and wait for as long as it is reached."""
        self.suspect(service)
        await self.settle(service)
        if not self._state.reach.is_unreachable(service):
            await asyncio.Event().wait()

    async def run(self) -> None:
        """Probe unreachable services until cancelled."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            services = self._state.reach.list_unreachable()
            await asyncio.gather(*map(self._probe_service, services))
            now_s = self._state.get_now_s()
            if services and now_s >= (
                self._announced_s + ANNOUNCEMENT_INTERVAL_S
            ):
                self._announce()

    def close(self) -> None:
        """Cancel all checks."""
        for check in self._checks.values():
            check.cancel()

    async def _check(self, service: str) -> None:
        records = self._choose_probes(service, CHECKED_TARGETS)
        begin_s = self._state.get_now_s()
        if not records or await self._probe(service, records):
            return
        took_s = self._state.get_now_s() - begin_s
        age_s = self._state.reach.compute_reached_age_s(
            service, self._state.get_now_s()
        )
        if took_s > CHECK_TIMEOUT_S + MAXIMUM_LAG_S:
            self._state.log.write(
                'reach_check_void', service=service, took_s=took_s
            )
        elif age_s is None or age_s > took_s:
            self._mark_unreachable(service, records)

    async def _probe_service(self, service: str) -> None:
        """Probe an unreachable service.

        A few of its targets alone could not take all calls that peers serve,
        so it is reachable again once half of a sample accept connections.
        """
        if not await self._probe(
            service, self._choose_probes(service, PROBED_TARGETS)
        ):
            return
        sample = self._choose_probes(service, CHECKED_TARGETS)
        accepted = await asyncio.gather(
            *(_accepts_connection(record.address) for record in sample)
        )
        if 2 * sum(accepted) >= len(sample):
            self._mark_reachable(service)

    async def _probe(
        self, service: str, records: Sequence[TargetRecord]
    ) -> bool:
        """Return whether one of the targets accepts a connection."""
        probes = [
            asyncio.ensure_future(_accepts_connection(record.address))
            for record in records
        ]
        try:
            for probe in asyncio.as_completed(probes):
                if await probe:
                    now_s = self._state.get_now_s()
                    self._state.reach.record_reached(service, now_s)
                    return True
        finally:
            for task in probes:
                task.cancel()
        return False

    def _mark_reachable(self, service: str) -> None:
        """Record that a service can be reached again.

        What was learnt of its targets behind the cut is forgotten.
        """
        state = self._state
        away_s = state.reach.mark_reachable(service, state.get_now_s())
        for record in state.directory.list_serving(service):
            state.health.forget(record.name)
        state.log.write('service_reached', service=service, away_s=away_s)
        self._record_change()

    def _mark_unreachable(
        self, service: str, records: Sequence[TargetRecord]
    ) -> None:
        state = self._state
        now_s = state.get_now_s()
        age_s = state.reach.compute_reached_age_s(service, now_s)
        if not state.reach.mark_unreachable(service, now_s):
            return
        state.metrics.increment('services_lost')
        state.log.write(
            'service_unreachable',
            service=service,
            targets=','.join(record.name for record in records),
            reached_s=age_s,
        )
        self._record_change()
        self.suspect_all()

    def _record_change(self) -> None:
        self._state.metrics.set_gauge(
            'services_unreachable', len(self._state.reach.list_unreachable())
        )
        self._announce()

    def _announce(self) -> None:
        self._announced_s = self._state.get_now_s()
        self._broadcast(make_announcement(self._state))

    def _list_serving(self) -> list[str]:
        """Return the services that have targets."""
        document = self._state.document
        services = () if document is None else tuple(document.services)
        return [
            service
            for service in services
            if self._state.directory.list_serving(service)
        ]

    def _choose_probes(self, service: str, count: int) -> list[TargetRecord]:
        state = self._state
        now_s = state.get_now_s()
        records = state.directory.list_serving(service)
        names = [record.name for record in records]
        usable = state.health.list_usable(names, now_s)
        avoided = set(names).difference(usable)
        if state.reach.is_unreachable(service):
            avoided.clear()
        return state.reach.choose_probes(records, avoided, count, now_s)


def make_announcement(state: GatewayState) -> ServicesUnreachable:
    """Return the announcement of the services that are unreachable."""
    return ServicesUnreachable(state.origin, state.reach.list_unreachable())


async def _accepts_connection(address: str) -> bool:
    try:
        _, writer = await open_tcp_connection(
            parse_address(address), CHECK_TIMEOUT_S
        )
    except OSError:
        # The caller logs that none of several targets accepted one.
        return False
    writer.transport.abort()
    return True


async def probe_suspect(
    address: str, reach: ReachMonitor, service: str
) -> None:
    """Probe a silent target; check its service if it does not answer.

    :raises AnswerBroken: the target does not accept a connection, or no target
        of its service does.
    """
    probe = asyncio.ensure_future(probe_target(address))
    await asyncio.wait((probe,), timeout=PROBE_SUSPICION_S)
    if probe.done():
        await probe
        return
    check = asyncio.ensure_future(reach.wait_until_unreachable(service))
    try:
        await asyncio.wait((probe, check), return_when=asyncio.FIRST_COMPLETED)
        if not probe.done():
            raise AnswerBroken('this instance reaches no target of the service')
        await probe
    finally:
        probe.cancel()
        check.cancel()
