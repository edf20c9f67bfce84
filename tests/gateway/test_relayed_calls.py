"""Tests of calls that a peer serves for an instance without targets."""

import asyncio
import contextlib
import time

import pytest

from tests.gateway.documents import HOST, make_document, make_host
from tests.gateway.fleets import make_call, read_answer, run_fleet, run_peers
from tests.gateway.partitions import CutKind, partition, run_as
from tests.gateway.targets import (
    SEAL_HEADER,
    make_event,
    never_answer,
    reply,
    stream,
)
from trefoilhinge.client.request_timeline import print_timeline
from trefoilhinge.gateway import relay_server
from trefoilhinge.gateway.http_client import FetchFailed, fetch
from trefoilhinge.platform.standins.formats import NOT_RUN_HEADER

GONE_LIMIT_S = 0.5  # for a target to be left after its caller has left
RETURN_LIMIT_S = 1.2  # for the end of a cut to be noticed
MILLION_TOKENS_BYTES = 90_000  # within the limit of the test's document


@contextlib.asynccontextmanager
async def run_cut_fleet(peers=1, document=None, **handlers):
    """Run a fleet whose first instance knows that it is cut off."""
    async with (
        run_fleet(document, **handlers) as fleet,
        run_peers(fleet, peers) as others,
    ):
        with partition(fleet) as cut:
            cut.cut(CutKind.refuse_new, fleet.settings.ip)
            await notice(fleet)
            yield fleet, others, cut


async def notice(fleet):
    """Let an instance check its services until it knows that it is cut off."""
    reach = fleet.gateway._peers.reach
    services = {record.service for record in list_records(fleet)}

    def knows():
        run_as(fleet.settings.ip, reach.suspect_all)
        return services <= set(fleet.state.reach.list_unreachable())

    await fleet.wait_for(knows)


def list_records(fleet):
    return list(fleet.state.directory.records.values())


def count_requests(fleet):
    return sum(len(one.requests) for one in fleet.targets.values())


async def open_call(fleet, *arguments, **headers):
    """Send a call; return its reader and writer."""
    reader, writer = await asyncio.open_connection(*fleet.settings.entry)
    writer.write(make_call(*arguments, **headers))
    return reader, writer


def number_events(count):
    return b''.join(make_event(number) for number in range(1, count + 1))


class TestAnswers:
    def test_answer_and_request_pass_unchanged(self):
        async def echo(exchange):
            headers = [SEAL_HEADER, ('X-Extra', 'kept')]
            await exchange.respond(201, exchange.body, headers)

        async def run():
            async with run_cut_fleet(d1=echo) as (fleet, _others, _cut):
                body = b'x' * MILLION_TOKENS_BYTES
                answer = await fleet.send_raw(
                    make_call('/book/7?a=%20b', body=body, X_Own='mine')
                )
                assert (answer.status, answer.content) == (201, body)
                assert answer.headers['x-server-seal'] == SEAL_HEADER[1]
                assert answer.headers['x-extra'] == 'kept'
                assert 'relay-refusal' not in answer.headers
                (request,) = fleet.targets['d1'].requests
                assert request.path == '/book/7?a=%20b'
                assert request.headers['x-own'] == 'mine'
                assert request.headers['x-tenant'] == 'mill'
                assert 'api-key' not in request.headers
                assert 2000 < int(request.headers['x-deadline']) < 2500

        asyncio.run(run())

    def test_refusal_of_a_peer_passes_unchanged(self):
        """Guards against another instance's verdict that is replaced."""
        full = reply(503, b'', [NOT_RUN_HEADER])

        async def run():
            async with run_cut_fleet(d1=full) as (fleet, others, _cut):
                direct = await others[0].call('/book/1')
                answer = await fleet.call('/book/1')
                assert (answer.status, answer.content) == (
                    direct.status,
                    direct.content,
                )
                names = direct.headers.keys() - {'connection'}
                assert {name: answer.headers[name] for name in names} == {
                    name: direct.headers[name] for name in names
                }

        asyncio.run(run())

    def test_header_of_a_target_is_no_refusal(self):
        answer_headers = [SEAL_HEADER, ('Relay-Refusal', 'local unsent')]

        async def run():
            async with run_cut_fleet(
                d1=reply(200, b'done', answer_headers)
            ) as (fleet, _others, _cut):
                answer = await fleet.call('/book/1')
                assert (answer.status, answer.content) == (200, b'done')
                assert count_requests(fleet) == 1

        asyncio.run(run())

    def test_slow_caller_gets_the_whole_stream(self):
        async def run():
            async with run_cut_fleet(m1=stream(last=20, gap_s=0.02)) as (
                fleet,
                _others,
                _cut,
            ):
                reader, writer = await open_call(fleet)
                await asyncio.sleep(1)
                answer = await read_answer(reader)
                writer.close()
                assert answer.is_complete
                assert answer.content == number_events(20)

        asyncio.run(run())


class TestStreamsUnderWay:
    @pytest.mark.parametrize('kind', list(CutKind), ids=lambda kind: kind.value)
    def test_stream_goes_on_where_it_stopped(self, kind):
        """Guards against streams that end with the links to targets."""

        async def run():
            handlers = {f'm{n}': stream(last=12, gap_s=0.1) for n in range(3)}
            async with (
                run_fleet(**handlers) as fleet,
                run_peers(fleet, 1),
            ):
                with partition(fleet) as cut:
                    reader, writer = await open_call(fleet, X_Deadline='9000')
                    await fleet.wait_for(lambda: count_requests(fleet))
                    await asyncio.sleep(0.4)
                    cut.cut(kind, fleet.settings.ip)
                    answer = await read_answer(reader)
                    writer.close()
                    assert answer.is_complete
                    assert answer.content == number_events(12)
                    if kind is CutKind.refuse_new:
                        assert count_requests(fleet) == 1

        asyncio.run(run())

    def test_call_that_may_run_once_is_not_sent_again(self):
        async def run():
            async with (
                run_fleet(d1=never_answer, d2=never_answer) as fleet,
                run_peers(fleet, 1),
            ):
                with partition(fleet) as cut:
                    reader, writer = await open_call(fleet, '/book/1')
                    await fleet.wait_for(lambda: count_requests(fleet))
                    cut.cut(CutKind.reset, fleet.settings.ip)
                    answer = await read_answer(reader)
                    writer.close()
                    assert answer.status == 502
                    assert b'may_have_run' in answer.content
                    assert count_requests(fleet) == 1

        asyncio.run(run())

    def test_stream_moves_on_when_its_peer_is_killed(self):
        async def run():
            handlers = {f'm{n}': stream(last=20, gap_s=0.1) for n in range(2)}
            async with run_cut_fleet(2, **handlers) as (fleet, others, _cut):
                reader, writer = await open_call(fleet, X_Deadline='9000')
                await fleet.wait_for(lambda: count_requests(fleet))
                await asyncio.sleep(0.4)
                (carrier,) = [
                    one
                    for one in others
                    if one.gateway._relay_server.connections
                ]
                for connection in tuple(
                    carrier.gateway._relay_server.connections
                ):
                    connection.abort()
                answer = await read_answer(reader)
                writer.close()
                assert answer.is_complete
                assert answer.content == number_events(20)
                assert count_requests(fleet) == 2

        asyncio.run(run())


class TestOneHop:
    def test_call_is_refused_at_once_if_nobody_reaches_a_target(self):
        """Guards against calls that travel between instances that are cut."""

        async def run():
            async with run_cut_fleet(2, d1=reply(200, b'done')) as (
                fleet,
                others,
                cut,
            ):
                cut.cut(
                    CutKind.refuse_new, *[one.settings.ip for one in others]
                )
                loop = asyncio.get_running_loop()
                for limit_s in (1.0, 0.1):
                    begin_s = loop.time()
                    answer = await fleet.call('/book/1')
                    assert loop.time() - begin_s < limit_s
                    assert answer.status == 503
                    assert b'"targets_unreachable"' in answer.content
                    assert b'"not_run"' in answer.content
                    assert 0.5 <= float(answer.headers['retry-after']) <= 1
                served = [one.state.metrics.counts for one in others]
                key = ('calls_carried', ())
                assert [counts[key] for counts in served] == [1, 1]
                assert fleet.state.metrics.counts[key] == 0

        asyncio.run(run())

    def test_only_instances_may_send_calls_on(self):
        """Guards against a way in that passes by the callers' checks."""

        async def run():
            async with run_fleet(d1=reply(200, b'done')) as fleet:
                address = (HOST, fleet.settings.relay_port)
                with pytest.raises(FetchFailed):
                    await fetch(address, '/relay', 1, b'{}')
                assert count_requests(fleet) == 0

        asyncio.run(run())

    def test_malformed_call_is_refused(self):
        async def run():
            async with (
                run_fleet(d1=reply(200, b'done')) as fleet,
                run_peers(fleet, 1) as peers,
            ):
                _, writer = await asyncio.open_connection(
                    HOST,
                    fleet.settings.relay_port,
                    local_addr=(peers[0].settings.ip, 0),
                )
                writer.write(
                    b'POST /relay HTTP/1.1\r\nHost: h\r\n'
                    b'Content-Length: 2\r\n\r\n\x93\x01'
                )
                answer = await read_answer(_)
                writer.close()
                assert answer.status == 400
                assert answer.headers['relay-refusal'] == 'local unsent'

        asyncio.run(run())


class TestDocuments:
    def test_peer_with_an_older_document_waits_for_the_newer(self):
        async def run():
            async with run_cut_fleet(d1=reply(200, b'done')) as (
                fleet,
                others,
                _cut,
            ):
                state = others[0].state
                older = state.document
                fleet.store.put('op/config', make_document(2))
                await fleet.wait_for(lambda: fleet.state.document.version == 2)
                await fleet.wait_for(lambda: state.document.version == 2)
                newer, state.document = state.document, older
                answer = asyncio.ensure_future(fleet.call('/book/1'))
                await asyncio.sleep(0.2)
                assert count_requests(fleet) == 0
                state.document = newer
                assert (await answer).status == 200

        asyncio.run(run())

    def test_peer_without_the_newer_document_refuses(self, monkeypatch):
        """Guards against a route or key that an older document still has."""
        monkeypatch.setattr(relay_server, 'DOCUMENT_TIMEOUT_S', 0.1)

        async def run():
            async with run_cut_fleet(d1=reply(200, b'done')) as (
                fleet,
                others,
                _cut,
            ):
                older = others[0].state.document
                fleet.store.put('op/config', make_document(2))
                await fleet.wait_for(lambda: fleet.state.document.version == 2)
                await fleet.wait_for(
                    lambda: others[0].state.document.version == 2
                )
                others[0].state.document = older
                answer = await fleet.call('/book/1')
                assert answer.status == 503
                assert count_requests(fleet) == 0
                log = fleet.state.metrics.counts
                assert log['relays_failed', ()] == 1

        asyncio.run(run())

    def test_key_that_the_peer_knows_to_be_revoked_is_refused(self):
        async def run():
            async with run_cut_fleet(d1=reply(200, b'done')) as (
                fleet,
                others,
                _cut,
            ):
                older = fleet.state.document
                newer = make_document(2)
                newer['tenants'] = [{'name': 'other', 'apiKeys': ['key-2']}]
                fleet.store.put('op/config', newer)
                await fleet.wait_for(
                    lambda: others[0].state.document.version == 2
                )
                fleet.state.document = older
                answer = await fleet.call('/book/1')
                assert answer.status == 401
                assert count_requests(fleet) == 0

        asyncio.run(run())


class TestDepartures:
    def test_target_is_left_when_the_caller_leaves(self):
        async def run():
            async with run_cut_fleet(m1=never_answer) as (fleet, others, _cut):
                _, writer = await open_call(fleet)
                await fleet.wait_for(lambda: count_requests(fleet))
                (request,) = fleet.targets['m1'].requests
                writer.transport.abort()
                async with asyncio.timeout(GONE_LIMIT_S):
                    assert await request.reader.read() == b''
                await fleet.wait_for(
                    lambda: not others[0].gateway._service.active
                )

        asyncio.run(run())

    def test_target_is_left_at_the_deadline(self):
        async def run():
            async with run_cut_fleet(d1=never_answer) as (fleet, _peers, _cut):
                answer_task = asyncio.ensure_future(
                    fleet.call('/book/1', X_Deadline='700')
                )
                await fleet.wait_for(lambda: count_requests(fleet))
                (request,) = fleet.targets['d1'].requests
                async with asyncio.timeout(0.7 + GONE_LIMIT_S):
                    assert await request.reader.read() == b''
                answer = await answer_task
                assert answer.status == 504
                assert b'"may_have_run"' in answer.content

        asyncio.run(run())


class TestOverload:
    def test_calls_beyond_the_bound_are_refused_at_once(self, monkeypatch):
        monkeypatch.setattr(relay_server, 'MAXIMUM_RELAYED_CALLS', 2)

        async def run():
            async with run_cut_fleet(
                m1=never_answer, d1=reply(200, b'done')
            ) as (fleet, others, _cut):
                opened = [await open_call(fleet) for _ in range(2)]
                await fleet.wait_for(lambda: count_requests(fleet) == 2)
                loop = asyncio.get_running_loop()
                begin_s = loop.time()
                answer = await fleet.call('/book/1')
                assert loop.time() - begin_s < 0.2
                assert answer.status == 503
                assert b'"not_run"' in answer.content
                own = await others[0].call('/book/1')
                assert own.status == 200
                for _, writer in opened:
                    writer.close()

        asyncio.run(run())


class TestStops:
    def test_peer_that_stops_ends_what_it_carries(self):
        async def run():
            async with run_cut_fleet(m1=stream(last=20, gap_s=0.1)) as (
                fleet,
                others,
                _cut,
            ):
                reader, writer = await open_call(fleet, X_Deadline='9000')
                await fleet.wait_for(lambda: count_requests(fleet))
                others[0].gateway._begin_stop()
                answer = await read_answer(reader)
                writer.close()
                assert answer.is_complete
                assert count_requests(fleet) == 1

        asyncio.run(run())


class TestReturn:
    def test_end_of_a_cut_is_noticed_without_hammering_targets(self):
        async def run():
            handlers = {f'd{n}': reply(200, b'done') for n in range(3)}
            async with run_cut_fleet(**handlers) as (fleet, others, cut):
                ip = fleet.settings.ip
                cut.opened.clear()
                begin_s = time.monotonic()
                for _ in range(20):
                    assert (await fleet.call('/look/1')).status == 200
                    await asyncio.sleep(0.1)
                # Two each half second, whatever the number of calls, which
                # take longer than two seconds on a busy machine.
                half_seconds = (time.monotonic() - begin_s) // 0.5
                assert cut.opened[ip] <= 2 * (half_seconds + 1)
                cut.heal(ip)
                await fleet.wait_for(
                    lambda: not fleet.state.reach.list_unreachable(),
                    RETURN_LIMIT_S,
                )
                usable = fleet.state.health.list_usable(
                    ['d0', 'd1', 'd2'], fleet.state.get_now_s()
                )
                assert usable == ['d0', 'd1', 'd2']
                carried = others[0].state.metrics.counts['calls_carried', ()]
                assert (await fleet.call('/look/1')).status == 200
                counts = others[0].state.metrics.counts
                assert counts['calls_carried', ()] == carried

        asyncio.run(run())


class TestPartialCuts:
    def test_few_reachable_targets_do_not_end_the_cut(self):
        """Guards against all calls of an instance at its only target."""

        async def run():
            handlers = {f'd{n}': reply(200, b'done') for n in range(5)}
            async with run_cut_fleet(**handlers) as (fleet, others, cut):
                target = fleet.targets['d4']
                cut.spared.add((HOST, target.port))
                # Long enough to probe all targets in turn.
                await asyncio.sleep(2)
                assert fleet.state.reach.list_unreachable() == ('desk',)
                for _ in range(6):
                    assert (await fleet.call('/look/1')).status == 200
                assert others[0].state.metrics.counts['calls_carried', ()] == 6

        asyncio.run(run())

    def test_only_reachable_target_is_used_if_no_peer_can_help(self):
        async def run():
            handlers = {f'd{n}': reply(200, b'done') for n in range(3)}
            async with run_cut_fleet(**handlers) as (fleet, others, cut):
                cut.cut(CutKind.refuse_new, others[0].settings.ip)
                await notice(others[0])
                cut.spared.add((HOST, fleet.targets['d2'].port))
                await asyncio.sleep(1.5)
                for _ in range(3):
                    answer = await fleet.call('/look/1')
                    assert (answer.status, answer.content) == (200, b'done')
                assert len(fleet.targets['d2'].requests) == 3

        asyncio.run(run())


class TestFalseAlarms:
    def test_targets_that_are_all_gone_are_no_reason_to_send_calls_around(
        self,
    ):
        """Each instance asks its peers once and then refuses at once."""

        async def run():
            async with (
                run_fleet(d1=reply(200, b'done')) as fleet,
                run_peers(fleet, 2) as peers,
            ):
                await fleet.targets['d1'].stop()
                everyone = (fleet, *peers)
                for _ in range(3):
                    for one in everyone:
                        assert (await one.call('/look/1')).status == 503
                carried = sum(
                    one.state.metrics.counts['calls_carried', ()]
                    for one in everyone
                )
                assert carried <= 3

        asyncio.run(run())

    def test_single_target_that_is_gone_is_no_cut(self):
        async def run():
            handlers = {f'd{n}': reply(200, b'done') for n in range(3)}
            async with (
                run_fleet(**handlers) as fleet,
                run_peers(fleet, 1),
            ):
                await fleet.targets['d0'].stop()
                for _ in range(6):
                    assert (await fleet.call('/look/1')).status == 200
                counts = fleet.state.metrics.counts
                assert counts['services_lost', ()] == 0

        asyncio.run(run())


class TestExplanation:
    def test_timeline_follows_the_call_over_both_instances(
        self, capfd, tmp_path
    ):
        async def run():
            async with run_cut_fleet(d1=reply(200, b'done')) as (
                fleet,
                _others,
                _cut,
            ):
                await fleet.call('/book/1', X_Request_Id='r-9')

        asyncio.run(run())
        log = tmp_path / 'log'
        log.write_text(capfd.readouterr().out)
        assert print_timeline('r-9', [str(log)]) == 0
        text = capfd.readouterr().out
        assert 'event' not in text.splitlines()[0]
        for event in ('call_relayed', 'call_offered', f'relayed_by={HOST}'):
            assert event in text
        assert f'entry-{make_host(2)}' in text
