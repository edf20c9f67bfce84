"""Case 8: a replica that left gets requests after an outage of the store."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'standins_2'))

import harness  # noqa: E402

DRAIN_S = harness.BOUNDS['drainMs'] / 1000
STABLE_S = harness.BOUNDS['stableMs'] / 1000
OUTAGE_S = 0.5
LINGER_S = 3.0  # longer than drainMs: 'at times many seconds'
MARGIN_S = 0.05  # for the clocks of this script
REQUESTS_PER_S = 60
WORK_S = 0.09
SERVICE = 'yard-ops'


async def play(record, folder, network, has_trouble, gateways):
    store = harness.Store(record, (f'{network}.2', 8223))
    await store.start()
    replicas = [
        harness.Replica(
            record,
            store,
            f'i-yard{number}',
            SERVICE,
            (f'{network}.{100 + number}', 8080),
            zone,
            work_s=WORK_S,
        )
        for number, zone in enumerate(
            ('pointe-a', 'couva-b', 'claxton-c', 'pointe-a')
        )
    ]
    for replica in replicas:
        await replica.start()
        replica.register()
    store.put(
        'op/config',
        harness.make_config(
            3,
            [harness.make_route('r-book', '/book/', SERVICE)],
            [harness.make_service(SERVICE)],
        ),
    )
    ips = [f'{network}.{number}' for number in (11, 12, 13)]
    seeds = [f'{ip}:8229' for ip in ips]
    for ip, zone in zip(ips, ('pointe-a', 'couva-b', 'claxton-c'), strict=True):
        gateways.append(
            harness.Gateway(record, folder, ip, zone, store.address, seeds)
        )
    for gateway in gateways:
        gateway.start()
    await harness.wait_until_ready(gateways)
    await asyncio.sleep(STABLE_S + 1)

    answers = {}
    tasks = set()
    is_over = asyncio.Event()
    sending = asyncio.ensure_future(
        send_all(record, gateways, answers, tasks, is_over)
    )
    await asyncio.sleep(2)
    first, second = replicas[3], replicas[2]
    # All gateways wait for changes, as they mostly do.
    while len(store.waiting) < len(gateways):
        await asyncio.sleep(0.01)
    store.remove(f'servers/{first.name}')
    record.write(f'the entry of {first.name} is removed: acknowledged')
    await asyncio.sleep(0.3)
    store.remove(f'servers/{second.name}')
    removed_s = record.now()
    record.write(f'the entry of {second.name} is removed: acknowledged')
    ends = [
        asyncio.ensure_future(end_later(record, replica))
        for replica in (first, second)
    ]
    await asyncio.sleep(0.2)
    if has_trouble:
        store.begin_silence()
        record.write('the store is silent')
    await asyncio.sleep(OUTAGE_S)
    if has_trouble:
        store.end_silence()
        record.write('the store answers again')
    stable_s = record.now() + (STABLE_S if has_trouble else 0)
    await asyncio.gather(*ends)
    await asyncio.sleep(1)
    is_over.set()
    await sending
    await asyncio.gather(*tasks)

    # Taken from the client and sent on by machines in touch: the core is
    # stable again.
    late_s = max(stable_s, removed_s + DRAIN_S) + MARGIN_S
    sent = {request: sent_s for request, (sent_s, _) in answers.items()}
    late = [
        (at_s, request)
        for at_s, request in second.arrivals
        if at_s > late_s and sent[request] > late_s
    ]
    breaches = [
        f'DRAIN: {request} reached {second.name} at {at_s:.3f},'
        f' {at_s - removed_s:.3f} s after its leaving was acknowledged;'
        f' machines are in touch since {stable_s:.3f};'
        f' the client got {answers[request][1]}'
        for at_s, request in late
    ]
    lost = [request for _, request in late if answers[request][1] != 200]
    record.write(f'{len(late)} requests reached it late, {len(lost)} are lost')
    return breaches


async def end_later(record, replica):
    await asyncio.sleep(DRAIN_S + LINGER_S)
    record.write(f'{replica.name} exits')
    replica.end()


async def send_all(record, gateways, answers, tasks, is_over):
    number = 0
    while not is_over.is_set():
        number += 1
        request = f'q{number:05d}'
        task = asyncio.ensure_future(
            send_one(record, gateways[number % 3], request, answers)
        )
        tasks.add(task)
        await asyncio.sleep(1 / REQUESTS_PER_S)


async def send_one(record, gateway, request, answers):
    answers[request] = (record.now(), None)
    status, _ = await harness.send(
        record, gateway, request, f'/book/{request}', body=b'booking'
    )
    answers[request] = (answers[request][0], status)


harness.run_case(play, pathlib.Path(__file__).parent)
