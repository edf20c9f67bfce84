"""Tests of prompts beyond one engine's memory, over HTTP with real instances."""

import json
import pathlib
import time

import pytest
import urllib3

from trefoilhinge.demo.commands import wait_ready
from trefoilhinge.demo.deployment import DeploymentOptions, start_deployment

KANDY = pathlib.Path(__file__).parents[2] / 'examples' / 'kandy.json'
MEMORY_TOKENS = 4000
MAXIMUM_POLLS = 600
POOL = urllib3.PoolManager(retries=False)


@pytest.fixture
def deployment(tmp_path):
    """Start a deployment whose engines have little memory."""
    document = json.loads(KANDY.read_text())
    domain = document['failure_domains'][0]['name']
    for service in document['services']:
        if service['kind'] == 'model':
            service['memory_tokens'] = MEMORY_TOKENS
            for target in service['targets']:
                target['failure_domain'] = domain
    file = tmp_path / 'small.json'
    file.write_text(json.dumps(document))
    started = start_deployment(file, DeploymentOptions(instances=1, targets=4))
    wait_ready(started)
    yield started
    started.stop()


def complete(deployment, tokens):
    """Send a prompt of about ``tokens`` tokens."""
    return POOL.request(
        'POST',
        f'{deployment.urls[0]}/v1/completions',
        body=json.dumps(
            {
                'model': 'writer',
                'prompt': 'tea ' * tokens,
                'stream': True,
                'max_tokens': 8,
            },
        ).encode(),
        headers={
            'Authorization': f'Bearer {deployment.key}',
            'Content-Type': 'application/json',
        },
    )


def count_reservations(deployment):
    """Return the number of reservations at all engines."""
    return sum(len(one.memory.reservations) for one in deployment.engines)


class TestDeployment:
    """Groups of engines over HTTP."""

    def test_prompt_of_twice_an_engine(self, deployment):
        """It is answered completely, and then all reservations are released."""
        answer = complete(deployment, 2 * MEMORY_TOKENS)
        assert answer.status == 200, answer.data
        assert answer.data.rstrip().endswith(b'data: [DONE]')
        # The release follows the answer; its delay is not part of the test.
        for _ in range(MAXIMUM_POLLS):
            if not count_reservations(deployment):
                break
            time.sleep(0.05)
        assert count_reservations(deployment) == 0

    def test_prompt_beyond_every_engine(self, deployment):
        """It is refused as not run, and no engine has run it."""
        answer = complete(deployment, 5 * MEMORY_TOKENS)
        assert answer.headers['X-Verdict'] == 'not_run'
        assert json.loads(answer.data)['error']['code'] == 'too_large'
        assert not any(one.runs for one in deployment.engines)
