import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import threading
import time

import urllib3
from behave import given, then, when

from trefoilhinge.demo.deployment import (
    DeploymentOptions,
    list_entry_flags,
    start_deployment,
)

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
POOL = urllib3.PoolManager(retries=False, maxsize=32)
TIMEOUT_S = 40


class EntryProcess:
    """An entry instance in a process of its own."""

    def __init__(self, flags):
        self.flags = flags
        self.url = f'http://{flags["listen"]}'
        arguments = [
            f'--{name}={",".join(value) if isinstance(value, list) else value}'
            for name, value in flags.items()
        ]
        self.process = subprocess.Popen(
            [sys.executable, '-m', 'trefoilhinge', 'entry', *arguments],
            stderr=subprocess.DEVNULL,
        )

    def wait_ready(self):
        url = f'http://{self.flags["peer_listen"]}/readyz'
        wait_until(lambda: try_status(url) == 200)

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait(TIMEOUT_S)


class BlackholeRelay:
    """TCP relay that can drop all traffic without closing connections."""

    def __init__(self, address):
        self.host, _, port = address.rpartition(':')
        self.port = int(port)
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{self.listener.getsockname()[1]}'
        self.silenced = threading.Event()
        self.connections = []
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            server = socket.create_connection((self.host, self.port))
            # Connections accepted after blackhole_open() work normally.
            blackholed = threading.Event()
            self.connections.append((client, server, blackholed))
            for source, sink in ((client, server), (server, client)):
                threading.Thread(
                    target=self.forward,
                    args=(source, sink, blackholed),
                    daemon=True,
                ).start()

    def blackhole_open(self):
        for _, _, blackholed in self.connections:
            blackholed.set()

    def forward(self, source, sink, blackholed):
        try:
            while piece := source.recv(65536):
                if blackholed.is_set():
                    continue
                sink.sendall(piece)
            if not blackholed.is_set():
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            return

    def close(self):
        self.listener.close()
        for client, server, _ in self.connections:
            client.close()
            server.close()


def wait_until(check):
    until_s = time.monotonic() + TIMEOUT_S
    while not check():
        assert time.monotonic() < until_s, (
            f'the condition was not met within {TIMEOUT_S} s'
        )
        time.sleep(0.05)


def try_status(url):
    try:
        return POOL.request('GET', url, timeout=2).status
    except urllib3.exceptions.HTTPError:
        return None


class StreamThread(threading.Thread):
    """A streamed call and the data that it received."""

    def __init__(self, url, key, tokens):
        super().__init__(daemon=True)
        self.url = url
        self.key = key
        self.tokens = tokens
        self.data = b''
        self.started = threading.Event()
        self.broken = False
        self.start()

    def run(self):
        fields = {
            'model': 'writer',
            'prompt': 'tea ' * 50,
            'stream': True,
            'max_tokens': self.tokens,
        }
        try:
            answer = POOL.request(
                'POST',
                f'{self.url}/v1/completions',
                body=json.dumps(fields).encode(),
                headers={'Authorization': f'Bearer {self.key}'},
                preload_content=False,
                timeout=TIMEOUT_S,
            )
            for piece in answer.stream(65536):
                self.data += piece
                self.started.set()
        except urllib3.exceptions.HTTPError:
            self.broken = True
        self.started.set()

    @property
    def is_complete(self):
        return self.data.endswith(b'data: [DONE]\n\n')


@given('{count:d} entry processes of the document "{name}"')
def start_processes(context, count, name):
    context.deployment = start_deployment(
        EXAMPLES / f'{name}.json',
        DeploymentOptions(instances=0, targets=3, silence_s=1.0),
    )
    platform = context.deployment.servers[-1].address
    flags = list_entry_flags(
        context.deployment.document,
        platform,
        DeploymentOptions(instances=count),
    )
    context.processes = [EntryProcess(one) for one in flags]
    for process in context.processes:
        process.wait_ready()


@given('an engine behind a relay that can silence open connections')
def start_behind_relay(context):
    context.deployment = start_deployment(
        EXAMPLES / 'kandy.json',
        DeploymentOptions(instances=0, targets=1, silence_s=1.0),
    )
    document = context.deployment.document
    target = document['services'][0]['targets'][0]
    context.relay = BlackholeRelay(target['address'])
    target['address'] = context.relay.address
    context.deployment.platform.publish(json.dumps(document))
    platform = context.deployment.servers[-1].address
    flags = list_entry_flags(document, platform, DeploymentOptions(instances=1))
    context.processes = [EntryProcess(one) for one in flags]
    context.processes[0].wait_ready()


@when('{count:d} callers stream {tokens:d} tokens from process {number:d}')
def open_streams(context, count, tokens, number):
    for engine in context.deployment.engines:
        engine.batch.decode_interval_s = 0.05
    url = context.processes[number].url
    context.streams = [
        StreamThread(url, context.deployment.key, tokens) for _ in range(count)
    ]
    for stream in context.streams:
        assert stream.started.wait(TIMEOUT_S)


@when('process {number:d} receives SIGTERM')
def stop_process(context, number):
    context.processes[number].process.terminate()


@when('process {number:d} is killed')
def kill_process(context, number):
    context.processes[number].process.kill()


@when('process {number:d} is paused for {seconds:g} seconds')
def pause_process(context, number, seconds):
    pid = context.processes[number].process.pid
    os.kill(pid, signal.SIGSTOP)
    time.sleep(seconds)
    os.kill(pid, signal.SIGCONT)


@when('the open connections go silent')
def silence(context):
    context.relay.blackhole_open()


@then('every stream ends with its finish marker')
def check_complete(context):
    for stream in context.streams:
        stream.join(TIMEOUT_S)
    assert all(one.is_complete for one in context.streams), [
        one.data[-80:] for one in context.streams
    ]


@then('every stream is broken and incomplete')
def check_incomplete(context):
    for stream in context.streams:
        stream.join(TIMEOUT_S)
    assert all(one.broken and not one.is_complete for one in context.streams)


@then('process {number:d} exits with code {code:d}')
def check_exit(context, number, code):
    assert context.processes[number].process.wait(TIMEOUT_S) == code


@then('each request ran once')
def check_once(context):
    runs = [n for one in context.deployment.engines for n in one.runs.values()]
    assert runs == [1] * len(context.streams), runs


@then('a new call to process {number:d} gets a complete answer')
def check_new(context, number):
    stream = StreamThread(
        context.processes[number].url, context.deployment.key, 3
    )
    stream.join(TIMEOUT_S)
    assert stream.is_complete, stream.data
