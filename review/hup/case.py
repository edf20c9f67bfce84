"""The settings files change whenever a machine starts."""

import asyncio
import pathlib
import signal
import time

from review.standins.cases import Record, run_case
from review.standins.deployment import (
    Deployment,
    Gateway,
    make_config,
    make_entry,
    make_route,
)

MACHINES = 2
NOTICE_S = 0.1  # from a start until the settings of all machines have changed
RESTART_DELAY_S = 0.5
ENDS_LIMIT = 3  # at two machines or more, by the rule
LENGTH_S = 12.0
POLL_S = 0.01


class Platform:
    """Starts machines again that have ended, and keeps their settings."""

    def __init__(
        self, deployment: Deployment, record: Record, has_trouble: bool
    ) -> None:
        """Keep what is run."""
        self.ends = {gateway.name: 0 for gateway in deployment.gateways}
        self._deployment = deployment
        self._record = record
        self._has_trouble = has_trouble
        self._seed_order = 0

    async def keep_running(self, gateway: Gateway) -> None:
        """Start a machine whenever it does not run."""
        while True:
            self._deployment.write_settings()
            gateway.start()
            self._record.write(f'{gateway.name} starts')
            await asyncio.sleep(NOTICE_S)
            self._change_settings()
            while gateway.process is None or gateway.process.poll() is None:
                await asyncio.sleep(POLL_S)
            self.ends[gateway.name] += 1
            self._record.write(
                f'{gateway.name} ended by itself with'
                f' {gateway.process.returncode}'
            )
            await asyncio.sleep(RESTART_DELAY_S)

    def _change_settings(self) -> None:
        """Write the seeds in another order, and send SIGHUP to all."""
        self._seed_order += 1
        seeds = [one.control for one in self._deployment.gateways]
        turn = self._seed_order % len(seeds)
        for gateway in self._deployment.gateways:
            gateway.write_settings(
                self._deployment.store.address, seeds[turn:] + seeds[:turn]
            )
            if self._has_trouble:
                gateway.signal(signal.SIGHUP)
        if self._has_trouble:
            self._record.write('settings changed, SIGHUP to all')


async def play(
    deployment: Deployment, record: Record, has_trouble: bool
) -> bool:
    """Return whether two machines ended by themselves three times."""
    store = deployment.store
    await store.start()
    store.put('servers/i-0', make_entry('yard-ops', '127.0.0.1:8120'))
    route = make_route('look', 'idempotent', 'yard-ops')
    store.put('op/config', make_config(7, [route]))
    deployment.add_gateways(MACHINES)
    platform = Platform(deployment, record, has_trouble)
    keepers = [
        asyncio.ensure_future(platform.keep_running(gateway))
        for gateway in deployment.gateways
    ]
    end_s = time.monotonic() + LENGTH_S
    while time.monotonic() < end_s:
        await asyncio.sleep(POLL_S)
    for keeper in keepers:
        keeper.cancel()
    for name, count in platform.ends.items():
        record.write(f'{name} ended {count} times')
    often = [name for name, n in platform.ends.items() if n >= ENDS_LIMIT]
    return len(often) >= MACHINES


run_case(pathlib.Path(__file__).parent, play)
