import json
import time

import urllib3
from attrs import evolve
from behave import then, when

from trefoilhinge.demo.commands import wait_ready
from trefoilhinge.demo.deployment import find_free_port
from trefoilhinge.entry.daemon import make_entry

POOL = urllib3.PoolManager(retries=False)
TIMEOUT_S = 60


def read_revision(entry):
    url = f'http://{entry.settings.peer_listen}/status'
    return POOL.request('GET', url).json()['revision']


@when('revision {revision:d} is published')
def publish(context, revision):
    newer = dict(context.deployment.document, revision=revision)
    context.deployment.platform.publish(json.dumps(newer))


@when('the configuration service reverts to revision 1')
def revert(context):
    text = json.dumps(context.deployment.document)
    assert json.loads(text)['revision'] == 1
    context.deployment.platform.publish(text)


@when('the configuration service is unavailable')
def take_down(context):
    context.deployment.platform.down = True


@when('another instance starts')
def start_instance(context):
    entries = context.deployment.entries
    seeds = tuple(one.settings.peer_listen for one in entries)
    settings = evolve(
        entries[0].settings,
        instance='entry-late',
        listen=f'127.0.0.1:{find_free_port()}',
        peer_listen=f'127.0.0.1:{find_free_port()}',
        seeds=seeds,
    )
    entries.append(make_entry(settings))
    entries[-1].start()
    wait_ready(context.deployment)
    # The instance must not be ready before it has the newest document, even
    # though the service serves an older one.
    assert read_revision(entries[-1]) == 2


@then('every instance applies revision {revision:d}')
def check(context, revision):
    until_s = time.monotonic() + TIMEOUT_S
    entries = context.deployment.entries
    reached = set()
    while len(reached) < len(entries):
        assert time.monotonic() < until_s, (
            f'{len(reached)} of {len(entries)} instances reached revision '
            f'{revision} within {TIMEOUT_S} s'
        )
        found = [read_revision(one) for one in entries]
        for index, one in enumerate(found):
            assert index not in reached or one >= revision, (
                f'instance {index} reverted to revision {one}'
            )
            if one == revision:
                reached.add(index)
        time.sleep(0.05)
