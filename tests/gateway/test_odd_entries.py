"""Tests of entries in the store that another writer left among the targets'."""

import asyncio
import json

import pytest

from tests.gateway.fleets import run_fleet, run_peers
from tests.gateway.targets import reply, stream
from trefoilhinge.platform.standins.formats import encode_target

ADDRESS = '127.0.0.1:9'
FAILURES = ('event=task_failed', 'event=call_crashed', 'Traceback')
NESTED = '[' * 100_000
# Numbers within these are read; their fields are not checked by the decoder.
ODD_NUMBERS = ('1' + '0' * 4_000, '1e999', 'NaN', str(2**64), '-1', '0.5')


def make_entry(service='model', address=ADDRESS, **raw_fields):
    """Return an entry; further fields are JSON as it is written."""
    entry = json.loads(json.dumps(encode_target(service, address)))
    marks = {f'@{name}@': text for name, text in raw_fields.items()}
    entry.update({name: f'@{name}@' for name in raw_fields})
    content = json.dumps(entry)
    for mark, text in marks.items():
        content = content.replace(f'"{mark}"', text)
    return content.encode()


def list_odd_entries():
    """Yield pairs of a key and an entry that names no target."""
    for field in ('slots', 'born', 'seq'):
        for number in ODD_NUMBERS:
            yield f'{field}={number[:9]}', 'x', make_entry(**{field: number})
    yield (
        'draining',
        'x',
        make_entry(born='1' + '0' * 400, state='"draining"'),
    )
    yield 'nested', 'x', NESTED.encode()
    yield 'nested field', 'x', make_entry(more=f'{NESTED}{"]" * 100_000}')
    yield 'port', 'x', make_entry(address='127.0.0.1:65536')
    for name in ('a b', 'a\r\nX-Tenant: m', '\ud800', '\u2013', ''):
        yield f'name {name[:9]!a}', name, make_entry()


ODD_ENTRIES = list(list_odd_entries())


class TestOddEntries:
    """Guards against LOST: instances that fail, or no longer follow the list.

    The odd entries do not name a target to use; the others hold.
    """

    @pytest.mark.parametrize(
        ('name', 'entry'),
        [one[1:] for one in ODD_ENTRIES],
        ids=[one[0] for one in ODD_ENTRIES],
    )
    def test_others_hold(self, name, entry, capfd):
        async def run():
            async with run_fleet(m1=stream(), d1=reply(200)) as fleet:
                fleet.store.put(f'servers/{name}', entry)
                async with run_peers(fleet, 1) as (other,):
                    target = fleet.targets['m1']
                    fleet.store.put_target('m2', target.address, born=2000)
                    for one in (fleet, other):
                        records = one.state.directory.records
                        await fleet.wait_for(
                            lambda records=records: 'm2' in records
                        )
                        assert name not in records
                        assert not one.state.directory.departed
                        assert (await one.call('/look/1', 'GET')).status == 200

        asyncio.run(run())
        log = capfd.readouterr().out
        assert not [line for line in log.splitlines() if FAILURES[0] in line]
        assert not [one for one in FAILURES if one in log]
        assert 'event=target_refused' in log
