import time

import pytest

from tests.calls import support

BODY = b'{"model": "writer", "prompt": "tea", "max_tokens": 2}'
PATH = '/v1/completions'


@pytest.fixture(scope='module')
def deployment():
    one = support.start(
        settings={
            'slow_sender_s': 1.0,
            'maximum_header_bytes': 4096,
            'maximum_body_bytes': 100_000,
            'maximum_connections': 3,
        }
    )
    yield one
    support.reset_faults(one)
    one.stop()


def exchange(deployment, data):
    with support.connect(deployment) as sock:
        sock.sendall(data)
        return support.read_all(sock)


class TestBoundedConnection:
    def send(self, deployment, *headers, body=BODY):
        head = support.format_request_head(
            deployment, PATH, 'Connection: close', *headers
        )
        return exchange(deployment, head + body)

    def test_accepts_a_body_of_known_length(self, deployment):
        answer = self.send(deployment, f'Content-Length: {len(BODY)}')
        assert answer.startswith(b'HTTP/1.1 200')

    def test_accepts_a_chunked_body(self, deployment):
        half = len(BODY) // 2
        body = b''.join(
            b'%x\r\n%s\r\n' % (len(piece), piece)
            for piece in (BODY[:half], BODY[half:])
        )
        answer = self.send(
            deployment,
            'Transfer-Encoding: chunked',
            body=body + b'0\r\n\r\n',
        )
        assert answer.startswith(b'HTTP/1.1 200')

    @pytest.mark.parametrize(
        ('headers', 'body', 'status', 'code'),
        [
            (('Content-Length: -5',), BODY, 400, 'bad_request'),
            (('Content-Length: five',), BODY, 400, 'bad_request'),
            (('Content-Length: 1_0',), BODY, 400, 'bad_request'),
            (('Content-Length: 3',), b'{x}', 400, 'bad_request'),
            (('Content-Length: 2',), b'[]', 400, 'bad_request'),
            (
                ('Content-Length: 4', 'Transfer-Encoding: chunked'),
                b'0\r\n\r\n',
                400,
                'bad_request',
            ),
            (('Transfer-Encoding: chunked',), b'zz\r\n', 400, 'bad_request'),
            (('Content-Length: 200000',), b'', 413, 'too_large'),
            (
                ('Transfer-Encoding: chunked',),
                b'30d40\r\n' + b'x' * 200_000,
                413,
                'too_large',
            ),
            (('X-Long: ' + 'x' * 5000,), b'', 413, 'too_large'),
            (
                ('X-Time-Limit-S: nan', 'Content-Length: 0'),
                b'',
                400,
                'bad_request',
            ),
        ],
    )
    def test_refuses_malformed_or_large_requests_in_json(
        self, deployment, headers, body, status, code
    ):
        answer = self.send(deployment, *headers, body=body)
        error = support.read_error(answer)
        assert answer.startswith(b'HTTP/1.1 %d' % status)
        assert (error['code'], error['verdict']) == (code, 'not_run')

    @pytest.mark.parametrize('part', ['request line', 'headers', 'body'])
    def test_refuses_a_caller_that_sends_byte_by_byte(self, deployment, part):
        head = support.format_request_head(
            deployment, PATH, f'Content-Length: {len(BODY)}'
        )
        start = {'request line': 0, 'headers': 40, 'body': len(head)}[part]
        data = head + BODY
        answer = b''
        with support.connect(deployment) as sock:
            sock.sendall(data[:start])
            try:
                for number in range(start, start + 40):
                    sock.sendall(data[number : number + 1])
                    time.sleep(0.1)
            except OSError:
                pass
            try:
                answer = support.read_all(sock)
            except ConnectionError:
                pytest.fail('connection was reset before the refusal was read')
        error = support.read_error(answer)
        assert (error['code'], error['verdict']) == ('slow_sender', 'not_run')

    def test_idle_caller_has_no_thread(self, deployment):
        """Guards against callers that take all threads and send nothing."""
        server = deployment.entries[0].callers
        with support.connect(deployment):
            for _ in range(10):
                time.sleep(0.05)
                assert server.count_active_requests() == 0

    def test_frees_the_thread_of_an_idle_caller(self, deployment):
        server = deployment.entries[0].callers
        with support.connect(deployment) as sock:
            sock.sendall(b'P')
            support.wait_until(lambda: server.count_active_requests() == 1)
            support.wait_until(lambda: server.count_active_requests() == 0)


class TestBoundedServer:
    def test_refuses_requests_beyond_its_threads(self, deployment):
        server = deployment.entries[0].callers
        support.reset_faults(deployment)
        for engine in deployment.engines:
            engine.batch.paused = True
        socks = [support.connect(deployment) for _ in range(3)]
        head = support.format_request_head(
            deployment, PATH, f'Content-Length: {len(BODY)}'
        )
        for sock in socks:
            sock.sendall(head + BODY)
        # The router may queue a call, but each occupies a thread regardless.
        support.wait_until(lambda: server.count_active_requests() == 3)
        answer = exchange(deployment, head + BODY)
        error = support.read_error(answer)
        assert answer.startswith(b'HTTP/1.1 503')
        assert (error['code'], error['verdict']) == ('overloaded', 'not_run')
        for engine in deployment.engines:
            engine.batch.paused = False
        for sock in socks:
            assert sock.recv(12) == b'HTTP/1.1 200'
            sock.close()
        assert support.count_runs(deployment) == [1, 1, 1]
        support.wait_until(lambda: server.count_active_requests() == 0)
        answer = exchange(deployment, head + BODY)
        assert answer.startswith(b'HTTP/1.1 200')


class TestUnknownKey:
    @pytest.mark.parametrize('key', ['', 'th-none-none', 'Bearer', 'th-a-b-c'])
    def test_does_not_disclose_what_exists(self, deployment, key):
        answers = []
        for path in (
            '/v1/completions',
            '/services/desk/x',
            '/none',
            '/v1/idempotency-keys',
        ):
            answer = support.POOL.request(
                'POST',
                deployment.urls[0] + path,
                body=BODY,
                headers={'Authorization': f'Bearer {key}'},
            )
            fields = answer.json()
            fields['error'].pop('request_id')
            answers.append((answer.status, fields))
        assert answers[0][0] == 401
        assert all(one == answers[0] for one in answers)


class TestIdempotencyKeys:
    def test_are_issued_or_refused(self, deployment):
        answer = support.post(deployment, '/v1/idempotency-keys', {})
        fields = answer.json()
        minted = answer.status == 200 and bool(fields.get('key'))
        refused = (
            answer.status == 503 and fields['error']['verdict'] == 'not_run'
        )
        assert minted or refused
