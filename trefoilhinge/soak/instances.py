"""Gateway processes of a soak."""

import os
import pathlib
import signal
import subprocess
import sys
import time

from attrs import define

from trefoilhinge.dispatch.settings import Address
from trefoilhinge.gateway.http_client import FetchFailed, fetch
from trefoilhinge.gateway.settings_files import ADMISSION_VARIABLE
from trefoilhinge.platform.settings import SETTINGS_PATH_VARIABLE
from trefoilhinge.platform.standins import formats
from trefoilhinge.soak.cold_checks import COLD_RATIO, COLD_SLACK
from trefoilhinge.soak.evacuation_checks import EVACUATE_S

PROGRAM = ('-m', 'trefoilhinge.gateway')
READY_STATUS = 200
MEMORY_MB = 100
DESCRIPTORS = 2000
KILL_TIMEOUT_S = 10.0  # for a process to exit, longer than its grace period


@define
class Instance:
    """One gateway process.

    :ivar ip: loopback address that it listens on.
    :ivar first_port: port for callers; its other ports follow.
    :ivar store: address of the store, ``host:port``.
    :ivar seeds: peer addresses that it contacts first, ``host:port``.
    :ivar folder: directory of its settings and log.
    :ivar program: arguments of the interpreter; tests pass a broken variant
        of the gateway.
    :ivar has_admission: whether calls wait in one order over all instances.
    :ivar memory_mb: memory that it may use.
    :ivar is_stopping: whether it was asked to stop.
    :ivar stop_ordered_s: time at which it was, in seconds of the monotonic
        clock.
    :ivar starts: number of processes that were started.
    """

    name: str
    ip: str
    first_port: int
    store: str
    seeds: list[str]
    folder: pathlib.Path
    program: tuple[str, ...] = PROGRAM
    has_admission: bool = False
    memory_mb: int = MEMORY_MB
    is_stopping: bool = False
    stop_ordered_s: float | None = None
    starts: int = 0
    _process: subprocess.Popen[bytes] | None = None
    _is_ended: bool = False

    @property
    def entry(self) -> Address:
        """Return the address that callers connect to."""
        return self.ip, self.first_port

    @property
    def readiness(self) -> Address:
        """Return the address of the readiness endpoint."""
        return self.ip, self.first_port + 1

    @property
    def pid(self) -> int | None:
        """Return the identifier of the process that was started last."""
        return None if self._process is None else self._process.pid

    @property
    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Write the settings file and start the process, unless it runs.

        Two events of a plan may both start an instance that they have ended,
        and one may be about to start it when the soak ends.
        """
        if self.is_running or self._is_ended:
            return
        path = self.folder / f'{self.name}.json'
        path.write_text(
            formats.encode_settings(
                self.name,
                self.ip,
                self.store,
                self.seeds,
                self.first_port,
                has_scarce_room=self.has_admission,
                evacuateMs=EVACUATE_S * formats.MS_PER_S,
                coldOver=COLD_RATIO,
                coldSlack=COLD_SLACK,
                limits={'memoryMb': self.memory_mb, 'maxFds': DESCRIPTORS},
            )
        )
        self.is_stopping = False
        self.stop_ordered_s = None
        self.starts += 1
        log_path = self.folder / f'{self.name}.log'
        with log_path.open('ab') as log:
            self._process = subprocess.Popen(
                [sys.executable, *self.program],
                env={
                    **os.environ,
                    SETTINGS_PATH_VARIABLE: str(path),
                    ADMISSION_VARIABLE: 'on' if self.has_admission else 'off',
                },
                stdout=log,
                stderr=log,
            )

    async def check_ready(self) -> bool:
        """Return whether the process says that it is ready."""
        try:
            fetched = await fetch(self.readiness, '/ready', 1)
        except FetchFailed:
            return False
        return fetched.status == READY_STATUS

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process, if it is running."""
        if self._process is not None and self.is_running:
            self._process.send_signal(signal_number)

    def order_stop(self) -> None:
        """Ask the process to stop."""
        self.is_stopping = True
        self.stop_ordered_s = time.monotonic()
        self.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kill the process, even if it is paused, and wait for its exit."""
        if self._process is None:
            return
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        self._process.wait(KILL_TIMEOUT_S)

    def end(self) -> None:
        """Kill the process, and start none any more."""
        self._is_ended = True
        self.kill()
