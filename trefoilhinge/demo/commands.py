"""Runs the demo from the command line."""

import pathlib
import threading
import time

import urllib3

from trefoilhinge.demo.deployment import (
    DeploymentShape,
    DemoDeployment,
    start_deployment,
)

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
START_TIMEOUT_S = 20


def run_demo(once: bool) -> int:
    """Start the demo; return an exit code after one workload if ``once``."""
    deployment = start_deployment(EXAMPLES / 'kandy.json', DeploymentShape())
    wait_ready(deployment)
    print(f'URL      {deployment.urls[0]}')
    print(f'API key  {deployment.key}')
    if not once:
        threading.Event().wait()
    return 0


def wait_ready(deployment: DemoDeployment) -> None:
    """Wait until every instance takes calls."""
    pool = urllib3.PoolManager(retries=False)
    until_s = time.monotonic() + START_TIMEOUT_S
    for entry in deployment.entries:
        url = f'http://{entry.settings.peer_listen}/readyz'
        while pool.request('GET', url).status != 200:
            if time.monotonic() > until_s:
                raise TimeoutError(f'{url} is not ready')
            time.sleep(0.05)
