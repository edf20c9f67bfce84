"""Commands of the demo."""

import json
import pathlib
import signal
import threading
import time

import logbook
import urllib3

from trefoilhinge.demo.callers import CallResult, DemoCallers
from trefoilhinge.demo.deployment import (
    DemoDeployment,
    DeploymentOptions,
    start_deployment,
)
from trefoilhinge.demo.results import LatencyTable, OutcomeCounts, count_results
from trefoilhinge.demo.workload import find_service, plan_isolated, plan_mixed

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
DOCUMENTS = ('caroni', 'kandy')
# Three engines per failure domain: enough KV memory for a prompt of one
# million tokens.
DEMO_OPTIONS = DeploymentOptions(instances=2, targets=9)
START_TIMEOUT_S = 20
STOP_TIMEOUT_S = 60
PROGRESS_INTERVAL_S = 5
EXIT_FAILED = 1


def run_demo(once: bool) -> int:
    """Serve until stopped, or run the workload if ``once`` is true.

    :return: exit code; non-zero if a call was cut off or ran twice.
    """
    # Discard log records: only the demo's own output is printed.
    with logbook.NullHandler().applicationbound():
        return run_workloads() if once else serve_demo()


def run_workloads() -> int:
    """Run the workload on both deployments and print the results."""
    total = OutcomeCounts(0, 0, 0)
    for name in DOCUMENTS:
        total = total.add(run_workload(name))
    print(total.line)
    return EXIT_FAILED if total.cut_off or total.ran_twice else 0


def run_workload(name: str) -> OutcomeCounts:
    """Run the workload on one deployment and print its latency table."""
    deployment = start_deployment(EXAMPLES / f'{name}.json', DEMO_OPTIONS)
    try:
        results = send_workload(deployment)
    finally:
        deployment.stop()
    count = count_results(deployment, results)
    table = LatencyTable()
    for result in results:
        table.add(result)
    print(f'{name}: time to the first byte of the answer')
    for line in table.list_lines():
        print(line)
    print(flush=True)
    return count


def send_workload(deployment: DemoDeployment) -> list[CallResult]:
    """Send short calls in isolation, then all others concurrently."""
    wait_ready(deployment)
    callers = DemoCallers(deployment)
    results = callers.send_all(plan_isolated(deployment.document))
    return results + callers.send_all(plan_mixed(deployment.document))


def serve_demo() -> int:
    """Serve one deployment and print progress until a stop signal."""
    stopping = threading.Event()

    def stop(number: int, frame: object) -> None:
        stopping.set()

    signal.signal(signal.SIGINT, stop)
    signal.signal(signal.SIGTERM, stop)
    deployment = start_deployment(EXAMPLES / 'kandy.json', DEMO_OPTIONS)
    wait_ready(deployment)
    print_commands(deployment)
    while not stopping.wait(PROGRESS_INTERVAL_S):
        print_progress(deployment)
    print('stopping: every open answer is finished first', flush=True)
    stop_gracefully(deployment)
    return 0


def print_commands(deployment: DemoDeployment) -> None:
    """Print the URL, an API key and three example commands."""
    url = deployment.urls[0]
    model = find_service(deployment.document, 'model')
    plain = find_service(deployment.document, 'plain')
    call = (
        f"curl -sN {url}/v1/completions -H 'Authorization: Bearer "
        f"{deployment.key}' -H 'Content-Type: application/json'"
    )
    short = json.dumps(
        {'model': model, 'prompt': 'A blurb.', 'stream': True},
    )
    print(f'URL      {url}')
    print(f'API key  {deployment.key}')
    print('\n# a short prompt, streamed')
    print(f"{call} -d '{short}'")
    print('\n# a prompt of about 100,000 tokens')
    print(
        'python3 -c \'import json; print(json.dumps({"model": '
        f'"{model}", "prompt": "leaf" * 100000, "stream": True}}))\' | '
        f'{call} -d @-',
    )
    print('\n# a booking that may not be repeated; send it twice')
    authorization = f"-H 'Authorization: Bearer {deployment.key}'"
    print(
        f'KEY=$(curl -s -X POST {url}/v1/idempotency-keys {authorization} '
        '| sed \'s/.*: "//; s/".*//\')',
    )
    print(
        f'curl -s {url}/services/{plain}/bookings {authorization} '
        '-H "Idempotency-Key: $KEY" -d \'{"seats": 2}\'',
    )
    print('\nctrl-C stops it.\n', flush=True)


def print_progress(deployment: DemoDeployment) -> None:
    """Print one line of progress."""
    runs = sum(len(one.runs) for one in deployment.engines)
    bookings = sum(len(one.runs) for one in deployment.plains)
    serving = sum(
        one.callers.count_active_requests() for one in deployment.entries
    )
    print(
        f'{runs} prompts and {bookings} plain calls so far, '
        f'{serving} being served',
        flush=True,
    )


def stop_gracefully(deployment: DemoDeployment) -> None:
    """Wait for open responses to finish, then stop the deployment."""
    for entry in deployment.entries:
        entry.request_stop()
    for entry in deployment.entries:
        entry.stopped.wait(STOP_TIMEOUT_S)
    deployment.stop()


def wait_ready(deployment: DemoDeployment) -> None:
    """Wait until every instance is ready.

    :raises TimeoutError: if an instance is not ready in time.
    """
    pool = urllib3.PoolManager(retries=False)
    until_s = time.monotonic() + START_TIMEOUT_S
    for entry in deployment.entries:
        url = f'http://{entry.settings.peer_listen}/readyz'
        while pool.request('GET', url).status != 200:
            if time.monotonic() > until_s:
                raise TimeoutError(
                    f'{url} not ready within {START_TIMEOUT_S} s'
                )
            time.sleep(0.05)
