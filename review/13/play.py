"""Case 13: wrong bytes in the ids of events, which are dropped or repeated."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins_3'))
import bench3  # noqa: E402

EVENTS = 12
# Event and what stands in its id, with one bit changed, by replica.
SPOILED = {'i-0': (EVENTS, '02'), 'i-1': (6, '>')}
GARBLING = 2  # of four replicas; `garble` is named for a share of 0.6
SPOILED_EACH = 35  # answers of such a replica; `garble` is named for 0.0292
PLAY_S = 30
CALLERS = 12


def make_event(name, number, written=None):
    """Return an event of a stream.

    :param written: text that stands in its id.
    """
    return f'id: {written or number}\ndata: {name} {number}\n\n'.encode()


class Model:
    """Answers of one replica: streams, of which some get a wrong byte."""

    def __init__(self, is_garbling, note):
        self.is_garbling = is_garbling
        self.note = note
        self.answers = 0

    async def answer(self, replica, request, writer):
        """Send a stream from where it is asked for."""
        self.answers += 1
        is_spoiled = self.is_garbling and self.answers % SPOILED_EACH == 0
        headers = request.sealed(
            ('Content-Type', 'text/event-stream'),
            ('Transfer-Encoding', 'chunked'),
        )
        lines = ['HTTP/1.1 200 OK', *(f'{a}: {b}' for a, b in headers), '', '']
        writer.write('\r\n'.join(lines).encode())
        number = int(request.headers.get('last-event-id', 0)) + 1
        while number <= EVENTS:
            # Two events that became ready together are written together.
            content = make_event(request.id, number)
            if number + 1 <= EVENTS:
                written = None
                if is_spoiled and number + 1 == SPOILED[replica.name][0]:
                    written = SPOILED[replica.name][1]
                    self.note(f'{replica.name} spoils {request.id}')
                content += make_event(request.id, number + 1, written)
            number += 2
            writer.write(b'%x\r\n%b\r\n' % (len(content), content))
            await writer.drain()
            await asyncio.sleep(0.03)
        writer.write(b'0\r\n\r\n')


def list_odd(name, answer):
    """Return how often events came, other than once, if all seems well."""
    if answer.status != 200 or not answer.is_complete:
        return {}
    content = answer.content.decode()
    counts = {
        number: content.count(f'data: {name} {number}\n')
        for number in range(1, EVENTS + 1)
    }
    return {number: times for number, times in counts.items() if times != 1}


async def play(note, is_troubled):
    """Return whether complete streams lack or repeat events."""
    async with bench3.World() as world:
        for number in range(4):
            replica = await world.add_replica(f'i-{number}', bench3.MODEL)
            is_garbling = is_troubled and number < GARBLING
            replica.handle = Model(is_garbling, note).answer
        world.store.put('op/config', bench3.make_config(3))
        gateways = [world.add_gateway(number) for number in (2, 3)]
        for gateway in gateways:
            await gateway.wait_until_ready()
        end_s = time.monotonic() + PLAY_S
        counts = {'complete': 0, 'other': 0}
        odd = {}

        async def call(caller):
            number = 0
            while time.monotonic() < end_s:
                name = f'notice-{caller}-{number}'
                gateway = gateways[(caller + number) % len(gateways)]
                number += 1
                answer = await bench3.send(
                    gateway.front,
                    'POST',
                    '/stream/1',
                    bench3.make_stream_headers(name, prompt=4960, limit=1400),
                    b'x' * 1200,
                )
                is_whole = answer.status == 200 and answer.is_complete
                counts['complete' if is_whole else 'other'] += 1
                found = list_odd(name, answer)
                if found:
                    odd[name] = found
                    note(
                        f'{name} is complete, but events came so often: {found}'
                    )
                    note(f'    {answer.content!r}')
                await asyncio.sleep(0.05)

        await asyncio.gather(*(call(caller) for caller in range(CALLERS)))
        lacking = sum(0 in found.values() for found in odd.values())
        note(f'streams: {counts}; complete, but lacking events: {lacking};')
        note(f'complete, but repeating events: {len(odd) - lacking}')
        return bool(odd)


if __name__ == '__main__':
    bench3.run(play, FOLDER)
