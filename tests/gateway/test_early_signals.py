"""Tests of signals that arrive while a process starts."""

import os
import signal
import subprocess
import sys
import textwrap
import time

import pytest

from tests.gateway.documents import HOST, find_port
from trefoilhinge.platform.settings import SETTINGS_PATH_VARIABLE
from trefoilhinge.platform.standins import formats

EXIT_LIMIT_S = 10
PORTS = 24  # of an instance

# Sends the process a signal at one stage of its start.
PROGRAM = textwrap.dedent("""
    import importlib.abc, os, runpy, signal, sys

    stage, number = sys.argv[1], int(sys.argv[2])

    class Finder(importlib.abc.MetaPathFinder):
        def find_spec(self, name, path, target=None):
            if name == 'trefoilhinge.gateway.daemon' and stage == 'imports':
                os.kill(os.getpid(), number)

    def precede(module, name):
        function = getattr(module, name)

        def send(*arguments):
            os.kill(os.getpid(), number)
            return function(*arguments)

        setattr(module, name, send)

    if stage == 'imports':
        sys.meta_path.insert(0, Finder())
    else:
        from trefoilhinge.gateway import daemon, planned_stop
        planned_stop.DRAIN_MINIMUM_S = 0.1
        precede(daemon, {'settings': 'make_state', 'sockets': 'listen'}[stage])
    runpy.run_module('trefoilhinge.gateway', run_name='__main__')
""")
STAGES = ('imports', 'settings', 'sockets')


def start(folder, stage, number):
    """Start a process that is sent a signal at a stage of its start."""
    first_port = find_port()
    for _ in range(PORTS):
        find_port()
    path = folder / 'settings.json'
    path.write_text(
        formats.encode_settings(
            'entry', HOST, f'{HOST}:{find_port()}', [], first_port
        )
    )
    return subprocess.Popen(
        [sys.executable, '-c', PROGRAM, stage, str(int(number))],
        env={**os.environ, SETTINGS_PATH_VARIABLE: str(path)},
        stdout=(folder / 'log').open('wb'),
        stderr=subprocess.STDOUT,
    )


def wait_for_line(process, folder, event):
    """Wait until a process has logged an event; return its log."""
    until_s = time.monotonic() + EXIT_LIMIT_S
    log = ''
    while f'event={event}' not in log:
        assert time.monotonic() < until_s, log
        assert process.poll() is None, (process.returncode, log)
        time.sleep(0.02)
        log = (folder / 'log').read_text()
    return log


@pytest.mark.parametrize('stage', STAGES)
class TestEarlySignals:
    """Guards against a process that a signal ends while it starts."""

    def test_settings_are_read_again(self, tmp_path, stage):
        process = start(tmp_path, stage, signal.SIGHUP)
        try:
            wait_for_line(process, tmp_path, 'reloaded')
            process.send_signal(signal.SIGTERM)
            assert process.wait(EXIT_LIMIT_S) == 0
        finally:
            process.kill()

    def test_process_ends_cleanly(self, tmp_path, stage):
        process = start(tmp_path, stage, signal.SIGTERM)
        try:
            assert process.wait(EXIT_LIMIT_S) == 0
        finally:
            process.kill()
        assert 'event=stopped' in (tmp_path / 'log').read_text()
