"""Tests of the planned stop of an entry instance with real sockets."""

import json
import signal
import socket
import subprocess
import sys
import textwrap
import time

import pytest

from tests.calls import support
from trefoilhinge.demo.deployment import find_free_port
from trefoilhinge.entry.daemon import CONTROL_THREADS

# Of a process from its start, which imports for over 13 s on a busy machine.
EXIT_LIMIT_S = 90
TIMEOUT_S = 20

# Sends the process SIGTERM at one stage of its start.
PROGRAM = textwrap.dedent("""
    import faulthandler, os, signal, sys

    faulthandler.dump_traceback_later(float(sys.argv.pop(1)))

    from trefoilhinge.client.commands import main
    from trefoilhinge.entry import commands, daemon

    stage = sys.argv.pop(1)

    def send():
        os.kill(os.getpid(), signal.SIGTERM)

    def surround(module, name, before):
        function = getattr(module, name)

        def call(*arguments):
            if before:
                send()
            result = function(*arguments)
            if not before:
                send()
            return result

        setattr(module, name, call)

    if stage == 'settings':
        surround(commands, 'make_entry', before=True)
    elif stage == 'listeners':
        surround(daemon, 'start_server', before=False)
    main()
""")


class EntryProcess:
    """An entry instance without a document in a process of its own."""

    def __init__(self, folder, stage='none', **flags):
        self.log_path = folder / 'log'
        self.address = f'127.0.0.1:{find_free_port()}'
        flags = {
            'instance': 'entry-1',
            'failure_domain': 'kandy',
            'listen': self.address,
            'peer_listen': f'127.0.0.1:{find_free_port()}',
            'configuration_url': f'http://127.0.0.1:{find_free_port()}/none',
            'instances_url': f'http://127.0.0.1:{find_free_port()}/none',
            'peer_secret': 'f' * 32,
            'stop_wait_s': 0.2,
            **flags,
        }
        arguments = [f'--{name}={value}' for name, value in flags.items()]
        with self.log_path.open('wb') as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    '-c',
                    PROGRAM,
                    str(EXIT_LIMIT_S - 2),
                    stage,
                    'entry',
                    *arguments,
                ],
                stderr=log,
            )

    def wait_listening(self):
        """Wait until the listener of callers is open."""
        host, _, port = self.address.rpartition(':')

        def connect():
            with socket.socket() as sock:
                return sock.connect_ex((host, int(port))) == 0

        support.wait_until(connect)

    def connect(self):
        host, _, port = self.address.rpartition(':')
        return socket.create_connection((host, int(port)), TIMEOUT_S)

    def wait(self):
        """Return the exit code."""
        try:
            return self.process.wait(EXIT_LIMIT_S)
        except subprocess.TimeoutExpired:
            pytest.fail(self.read_log())
        finally:
            self.process.kill()

    def read_log(self):
        return self.log_path.read_text()


class TestSignals:
    @pytest.mark.parametrize('stage', ['settings', 'listeners'])
    def test_process_that_starts_ends_cleanly(self, tmp_path, stage):
        """Guards against SIGTERM that cuts the calls of a starting process."""
        process = EntryProcess(tmp_path, stage)
        assert process.wait() == 0, process.read_log()

    def test_log_says_what_the_stop_left(self, tmp_path):
        """Guards against a stop whose completeness the log does not tell."""
        process = EntryProcess(tmp_path)
        process.wait_listening()
        with process.connect() as idle:
            idle.sendall(b'POST ')
            process.process.terminate()
            assert process.wait() == 0
            assert b'stopping' in support.read_all(idle)
        lines = process.read_log().splitlines()
        requested = [one for one in lines if 'event=stop_requested ' in one]
        assert len(requested) == 1
        assert requested[0].endswith('calls=0 queued=0')
        assert 'event=stopped took_s=' in lines[-1]
        assert lines[-1].endswith(
            'refused=0 ended_unsent=0 ended_sent=0 unreleased=0 unadopted=0 '
            'unread=1'
        )

    @pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGINT])
    def test_process_without_a_document_ends_on_repeated_signals(
        self, tmp_path, number
    ):
        """Guards against a second signal that cuts a stop short.

        Without a document, the stop has no calls and no peers to wait for.
        """
        process = EntryProcess(tmp_path, stop_wait_s=2)
        process.wait_listening()
        ordered_s = time.monotonic()
        for _ in range(3):
            process.process.send_signal(number)
            time.sleep(0.5)
        assert process.wait() == 0, process.read_log()
        assert time.monotonic() - ordered_s >= 2


@pytest.fixture
def deployment():
    one = support.start(targets=1, settings={'stop_wait_s': 0.2})
    yield one
    support.reset_faults(one)
    one.stop()


@pytest.fixture
def limited_deployment():
    one = support.start(
        targets=1, settings={'stop_wait_s': 0.2, 'stop_limit_s': 1.0}
    )
    yield one
    support.reset_faults(one)
    one.stop()


def send(deployment, stream, tokens=400):
    """Send a call and return its connection."""
    fields = {
        'model': 'writer',
        'prompt': 'tea',
        'stream': stream,
        'max_tokens': tokens,
    }
    body = json.dumps(fields).encode()
    head = support.format_request_head(
        deployment, '/v1/completions', f'Content-Length: {len(body)}'
    )
    sock = support.connect(deployment)
    sock.sendall(head + body)
    return sock


class TestExit:
    def test_calls_in_progress_get_a_whole_answer(self, deployment):
        """Guards against connections that an exit closes without an answer."""
        entry = deployment.entries[0]
        with send(deployment, stream=True) as streamed:
            begun = streamed.recv(100)
            for engine in deployment.engines:
                engine.batch.paused = True
            with send(deployment, stream=False) as whole:
                support.wait_until(
                    lambda: entry.callers.count_active_requests() == 2
                )
                support.wait_until(
                    lambda: support.read_status(deployment)['calls'] == 2
                )
                entry.close()
                data = support.read_all(whole)
                begun += support.read_all(streamed)
        assert data.startswith((b'HTTP/1.1 502', b'HTTP/1.1 503')), data
        assert b'Retry-After: ' in data
        assert support.read_error(data)['code'] in {
            'answer_incomplete',
            'stopping',
        }
        assert begun.startswith(b'HTTP/1.1 200')
        assert b'answer_incomplete' in begun
        assert b'[DONE]' not in begun


class TestStopLimit:
    def test_calls_that_are_left_get_a_whole_answer(self, limited_deployment):
        """Guards against calls that the platform's kill cuts off."""
        entry = limited_deployment.entries[0]
        for engine in limited_deployment.engines:
            engine.batch.paused = True
        with send(limited_deployment, stream=False) as sock:
            support.wait_until(
                lambda: support.read_status(limited_deployment)['calls'] == 1
            )
            entry.request_stop()
            data = support.read_all(sock)
            assert entry.stopped.wait(TIMEOUT_S)
        assert data.startswith(b'HTTP/1.1 502')
        error = support.read_error(data)
        assert error['code'] == 'answer_incomplete'
        assert error['verdict'] == 'may_have_run'


class TestTargets:
    def test_streams_of_ended_calls_are_cancelled(self, deployment):
        """Guards against engines that go on for callers that were cut off."""
        entry = deployment.entries[0]
        for executor in entry._executors:
            for _ in range(CONTROL_THREADS):
                executor.submit(time.sleep, 1)
        with send(deployment, stream=True) as sock:
            sock.recv(100)
            entry.close()
        engine = deployment.engines[0]
        support.wait_until(lambda: engine._cancelled_ids)


class TestKeys:
    def test_request_at_the_exit_names_a_remedy_that_works(self, deployment):
        """Guards against a key that callers make up, which is refused."""
        entry = deployment.entries[0]
        entry._actor.ask(seal_ledger, timeout=TIMEOUT_S)
        answer = support.post(deployment, '/v1/idempotency-keys', {})
        error = answer.json()['error']
        assert answer.status == 503
        assert error['code'] == 'stopping'
        assert error['verdict'] == 'not_run'
        assert error['retry_after_s'] == 1
        assert 'supply your own' not in error['message']


def seal_ledger(core, now):
    core.parts.ledger.export_entries(now)


class TestStopRequest:
    def test_kept_connections_end_at_an_answer(self, deployment):
        """Guards against a next request on a connection cut by the exit."""
        entry = deployment.entries[0]
        with send(deployment, stream=False, tokens=2) as sock:
            head = sock.recv(65536)
            assert b'Connection: close' not in head
            entry.request_stop()
            with send(deployment, stream=False, tokens=2) as other:
                data = support.read_all(other)
        assert data.startswith(b'HTTP/1.1 200')
        assert b'Connection: close' in data
