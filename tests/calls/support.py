import json
import pathlib
import socket
import threading
import time

import urllib3

from trefoilhinge.demo.commands import wait_ready
from trefoilhinge.demo.deployment import DeploymentOptions, start_deployment

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
POOL = urllib3.PoolManager(retries=False)
TIMEOUT_S = 20


def start(document='kandy', **shape):
    deployment = start_deployment(
        EXAMPLES / f'{document}.json',
        DeploymentOptions(**{'instances': 1, 'targets': 2, **shape}),
    )
    wait_ready(deployment)
    return deployment


def reset_faults(deployment):
    for engine in deployment.engines:
        engine.faults.released.set()
        engine.faults = type(engine.faults)()
        engine.runs.clear()
        engine.batch.paused = False
    for plain in deployment.plains:
        plain.released.set()
        plain.released = threading.Event()
        plain.silent = False
        plain.refusing = False
        plain.runs.clear()


def set_faults(deployment, **faults):
    for engine in deployment.engines:
        for name, value in faults.items():
            setattr(engine.faults, name, value)


def post(deployment, path, fields, instance=0, **headers):
    return POOL.request(
        'POST',
        f'{deployment.urls[instance]}{path}',
        body=json.dumps(fields).encode(),
        headers={
            'Authorization': f'Bearer {deployment.key}',
            'Content-Type': 'application/json',
            **headers,
        },
    )


def complete(deployment, stream=True, tokens=8, prompt='tea', **headers):
    fields = {
        'model': 'writer',
        'prompt': prompt,
        'stream': stream,
        'max_tokens': tokens,
    }
    return post(deployment, '/v1/completions', fields, **headers)


def mint_key(deployment, instance=0):
    answer = post(deployment, '/v1/idempotency-keys', {}, instance)
    return answer.json()['key']


def read_texts(data):
    words = []
    for line in data.decode().split('\n'):
        if line.startswith('data: {') and 'choices' in line:
            words.append(json.loads(line[6:])['choices'][0]['text'])
    return words


def count_runs(deployment):
    return sorted(n for one in deployment.engines for n in one.runs.values())


def read_status(deployment, instance=0):
    address = deployment.entries[instance].settings.peer_listen
    return json.loads(POOL.request('GET', f'http://{address}/status').data)


def wait_until(check):
    until_s = time.monotonic() + TIMEOUT_S
    while not check():
        assert time.monotonic() < until_s, (
            f'condition not met within {TIMEOUT_S} s'
        )
        time.sleep(0.05)


def connect(deployment, instance=0):
    host, _, port = deployment.entries[instance].settings.listen.rpartition(':')
    return socket.create_connection((host, int(port)), timeout=TIMEOUT_S)


def format_request_head(deployment, path, *headers):
    lines = [
        f'POST {path} HTTP/1.1',
        'Host: entry',
        f'Authorization: Bearer {deployment.key}',
        *headers,
    ]
    return '\r\n'.join([*lines, '', '']).encode()


def read_all(sock):
    data = b''
    while piece := sock.recv(65536):
        data += piece
    return data


def read_error(data):
    return json.loads(data.partition(b'\r\n\r\n')[2])['error']
