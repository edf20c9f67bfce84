import json

import pytest

from tests.calls import support
from trefoilhinge.calls.relay import CallRelay
from trefoilhinge.targets.abortable_connections import AbortableConnection
from trefoilhinge.targets.exceptions import TargetBroke


@pytest.fixture(scope='module')
def shared_deployment():
    deployment = support.start(silence_s=0.5)
    yield deployment
    support.reset_faults(deployment)
    deployment.stop()


@pytest.fixture
def deployment(shared_deployment):
    support.reset_faults(shared_deployment)
    yield shared_deployment
    support.reset_faults(shared_deployment)
    support.wait_until(
        lambda: support.read_status(shared_deployment)['calls'] == 0
    )


EXPECTED_TEXTS = [f'word{number} ' for number in range(8)]


class TestStreamedAnswer:
    def test_is_relayed_to_its_finish_marker(self, deployment):
        answer = support.complete(deployment)
        assert support.read_texts(answer.data) == EXPECTED_TEXTS
        assert answer.data.endswith(b'data: [DONE]\n\n')
        assert support.count_runs(deployment) == [1]

    @pytest.mark.parametrize(
        'fault', ['silent_after', 'truncate_after', 'cut_after']
    )
    @pytest.mark.parametrize('offset', [0, 3, 8])
    def test_is_resumed_on_a_new_connection(self, deployment, fault, offset):
        support.set_faults(deployment, **{fault: offset})
        answer = support.complete(deployment)
        assert support.read_texts(answer.data) == EXPECTED_TEXTS
        assert answer.data.endswith(b'data: [DONE]\n\n')
        assert support.count_runs(deployment) == [1]

    @pytest.mark.parametrize('fault', ['truncate_after', 'cut_after'])
    def test_that_cannot_be_resumed_ends_with_an_error(self, deployment, fault):
        support.set_faults(deployment, forgets_streams=True, **{fault: 3})
        answer = support.complete(deployment)
        assert support.read_texts(answer.data) == EXPECTED_TEXTS[:3]
        assert b'[DONE]' not in answer.data
        error = json.loads(answer.data.split(b'data: ')[-1])['error']
        assert error['verdict'] == 'may_have_run'
        assert support.count_runs(deployment) == [1]

    def test_of_another_stream_is_never_relayed(self, deployment):
        support.set_faults(deployment, wrong_stream_id=True)
        answer = support.complete(deployment, **{'X-Time-Limit-S': '5'})
        assert answer.status >= 500
        assert answer.json()['error']['verdict'] == 'may_have_run'

    def test_ends_at_its_deadline_if_the_target_is_silent(self, deployment):
        support.set_faults(deployment, silent_after=2, forgets_streams=False)
        for engine in deployment.engines:
            engine.batch.paused = True
        answer = support.complete(deployment, **{'X-Time-Limit-S': '1'})
        assert answer.status == 504
        assert answer.json()['error']['code'] == 'deadline_passed'


class TestCompleteAnswer:
    def test_is_assembled_from_the_stream(self, deployment):
        answer = support.complete(deployment, stream=False).json()
        assert answer['choices'][0]['text'] == ''.join(EXPECTED_TEXTS)
        assert answer['usage']['completion_tokens'] == 8

    @pytest.mark.parametrize('offset', [0, 3, 7])
    def test_event_of_an_answer_that_was_given_up_comes_again(
        self, deployment, monkeypatch, offset
    ):
        """Guards against an answer that looks whole and lacks a piece.

        The connection is given up in favour of other answers while an event is
        accepted. The event counted as received before it was kept.
        """
        given_up = []
        accept_event = CallRelay._accept_event
        hold = AbortableConnection.hold

        def give_up_and_accept(relay, attempt, event):
            if event.offset == offset and not given_up:
                given_up.append(relay._connection.target_connection)
            return accept_event(relay, attempt, event)

        def refuse_to_hold(connection, count):
            if connection in given_up:
                raise TargetBroke('given up')
            hold(connection, count)

        monkeypatch.setattr(CallRelay, '_accept_event', give_up_and_accept)
        monkeypatch.setattr(AbortableConnection, 'hold', refuse_to_hold)
        answer = support.complete(deployment, stream=False).json()
        assert given_up
        assert answer['choices'][0]['text'] == ''.join(EXPECTED_TEXTS)
        assert support.count_runs(deployment) == [1]

    def test_that_was_interrupted_and_lost_is_an_error(self, deployment):
        support.set_faults(deployment, forgets_streams=True, cut_after=3)
        # Without a retry, the verdict does not depend on the retry budget.
        headers = {'X-Repeatable': 'no'}
        answer = support.complete(deployment, stream=False, **headers)
        assert answer.status == 502
        assert answer.json()['error']['verdict'] == 'may_have_run'

    def test_of_a_stalled_target_ends_at_its_deadline(self, deployment):
        support.set_faults(deployment, stall=True, forgets_streams=True)
        headers = {'X-Time-Limit-S': '1', 'X-Repeatable': 'no'}
        answer = support.complete(deployment, stream=False, **headers)
        assert answer.status in {502, 504}
        assert answer.json()['error']['verdict'] == 'may_have_run'
        assert support.count_runs(deployment) == [1]

    def test_of_a_target_that_refused_has_not_run(self, deployment):
        support.set_faults(deployment, refuse=True)
        answer = support.complete(deployment, **{'X-Time-Limit-S': '3'})
        assert answer.json()['error']['verdict'] == 'not_run'
        assert support.count_runs(deployment) == []


class TestPlainService:
    def test_of_a_silent_service_may_have_run_once(self, deployment):
        for plain in deployment.plains:
            plain.silent = True
        key = support.mint_key(deployment)
        answer = support.post(
            deployment,
            '/services/desk/bookings',
            {'seats': 2},
            **{'X-Time-Limit-S': '1', 'Idempotency-Key': key},
        )
        assert answer.status == 504
        assert answer.json()['error']['verdict'] == 'may_have_run'
        # No cancellation is sent to the target, which would run it as a call.
        support.wait_until(
            lambda: support.read_status(deployment)['calls'] == 0
        )
        runs = [n for one in deployment.plains for n in one.runs.values()]
        assert runs == [1]

    def test_forwards_the_query(self, deployment):
        answer = support.post(
            deployment, '/services/desk/lookup/a%20b?day=7&hall=x', {}
        )
        assert answer.json()['path'] == '/lookup/a b'
        assert answer.json()['query'] == 'day=7&hall=x'

    def test_refuses_a_path_with_dot_segments(self, deployment):
        answer = support.POOL.urlopen(
            'POST',
            f'{deployment.urls[0]}/services/desk/lookup/%2e%2e/bookings',
            headers={'Authorization': f'Bearer {deployment.key}'},
        )
        assert answer.status == 400
        assert answer.json()['error']['verdict'] == 'not_run'


class TestDisconnectedCaller:
    def test_is_detected_while_nothing_is_written(self, deployment):
        support.set_faults(deployment, stall=True)
        for engine in deployment.engines:
            engine.batch.paused = True
        body = b'{"model": "writer", "prompt": "tea", "stream": true}'
        sock = support.connect(deployment)
        head = support.format_request_head(
            deployment, '/v1/completions', f'Content-Length: {len(body)}'
        )
        sock.sendall(head + body)
        support.wait_until(lambda: support.count_runs(deployment) == [1])
        sock.close()
        support.wait_until(lambda: not support.read_status(deployment)['calls'])
        for engine in deployment.engines:
            engine.batch.paused = False
        support.wait_until(
            lambda: not any(one.batch.running for one in deployment.engines)
        )

    def test_that_does_not_read_is_disconnected_at_the_deadline(
        self, deployment
    ):
        for engine in deployment.engines:
            engine.batch.decode_interval_s = 0.0001
        body = (
            b'{"model": "writer", "prompt": "tea", "stream": true,'
            b' "max_tokens": 100000}'
        )
        sock = support.connect(deployment)
        head = support.format_request_head(
            deployment,
            '/v1/completions',
            f'Content-Length: {len(body)}',
            'X-Time-Limit-S: 2',
        )
        sock.sendall(head + body)
        server = deployment.entries[0].callers
        support.wait_until(lambda: support.count_runs(deployment) == [1])
        support.wait_until(lambda: server.count_active_requests() == 0)
        for engine in deployment.engines:
            engine.batch.decode_interval_s = 0.01
        sock.close()
