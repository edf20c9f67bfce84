import contextlib
import select
import shutil
import socket
import ssl
import subprocess
import time

import pytest
import urllib3

from tests.calls import support
from tests.targets.test_control_requests import run_server
from tests.calls.test_server_stop import (
    FORCED_CLOSE_S,
    HEAD,
    SLOW_SENDER_S,
    STREAM_PART,
    answer,
    stop_in_background,
)
from trefoilhinge.calls.servers import (
    BoundedServer,
    ServerLimits,
    enable_tls,
    start_server,
)
from trefoilhinge.demo.deployment import DeploymentOptions, start_deployment
from trefoilhinge.targets.abortable_connections import AbortableConnection
from trefoilhinge.targets.http_requests import send_request
from trefoilhinge.targets.streams import ResponseBody

OPENSSL = shutil.which('openssl')
BODY = b'{"model": "writer", "prompt": "tea", "max_tokens": 2}'


@pytest.fixture(scope='module')
def certificate(tmp_path_factory):
    if OPENSSL is None:
        pytest.fail('openssl is required to create a certificate')
    folder = tmp_path_factory.mktemp('tls')
    subject = ['-subj', '/CN=entry', '-addext', 'subjectAltName=IP:127.0.0.1']
    files = ['-keyout', folder / 'key.pem', '-out', folder / 'cert.pem']
    command = [OPENSSL, 'req', '-x509', '-newkey', 'rsa:2048', '-nodes']
    subprocess.run(
        [*command, '-days', '1', *subject, *files],
        check=True,
        capture_output=True,
    )
    return folder


@pytest.fixture(scope='module')
def deployment(certificate):
    one = start_deployment(
        support.EXAMPLES / 'kandy.json',
        DeploymentOptions(
            instances=2,
            targets=1,
            settings={
                'tls_certificate': str(certificate / 'cert.pem'),
                'tls_key': str(certificate / 'key.pem'),
                'tls_authorities': str(certificate / 'cert.pem'),
                'slow_sender_s': 2.0,
            },
        ),
    )
    yield one
    one.stop()


@pytest.fixture
def pool(certificate):
    return urllib3.PoolManager(
        retries=False, ca_certs=str(certificate / 'cert.pem')
    )


def read_status(pool, entry):
    address = entry.settings.peer_listen
    return pool.request('GET', f'https://{address}/status').json()


class TestTls:
    def ask(self, deployment, pool, instance=0, **headers):
        settings = deployment.entries[instance].settings
        return pool.request(
            'POST',
            f'https://{settings.listen}/v1/completions',
            body=BODY,
            headers={'Authorization': f'Bearer {deployment.key}', **headers},
        )

    def wait(self, deployment, pool):
        for entry in deployment.entries:
            support.wait_until(
                lambda: read_status(pool, entry).get('ready', False)
            )

    def test_serves_callers(self, deployment, pool):
        self.wait(deployment, pool)
        answer = self.ask(deployment, pool)
        assert answer.status == 200, answer.data

    def test_is_not_blocked_by_a_caller_without_handshake(
        self, deployment, pool
    ):
        self.wait(deployment, pool)
        host, _, port = deployment.entries[0].settings.listen.partition(':')
        with socket.create_connection((host, int(port))):
            assert self.ask(deployment, pool).status == 200

    def test_is_rejected_by_a_caller_that_does_not_know_the_authority(
        self, deployment
    ):
        host, _, port = deployment.entries[0].settings.listen.partition(':')
        context = ssl.create_default_context()
        with socket.create_connection((host, int(port))) as sock:
            with pytest.raises(ssl.SSLCertVerificationError):
                context.wrap_socket(sock, server_hostname=host)

    def test_is_used_between_instances(self, deployment, pool):
        self.wait(deployment, pool)
        keys = pool.request(
            'POST',
            f'https://{deployment.entries[0].settings.listen}/v1/idempotency-keys',
            headers={'Authorization': f'Bearer {deployment.key}'},
        ).json()
        headers = {'Idempotency-Key': keys['key'], 'X-Repeatable': 'no'}
        answers = []

        def is_forwarded():
            answers.append(self.ask(deployment, pool, 1, **headers))
            return answers[-1].status == 200

        support.wait_until(is_forwarded)


ANSWER = b'x' * 12_000
FRAMED = {
    'length': (b'Content-Length: 12000', ANSWER),
    'chunks': (
        b'Transfer-Encoding: chunked',
        b'2ee0\r\n' + ANSWER + b'\r\n0\r\n\r\n',
    ),
    'neither': (b'X-None: 1', ANSWER),
}


class SplitRecords:
    """Server whose answers arrive as records of TLS in several parts."""

    def __init__(self, certificate, header, body):
        self._context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self._context.load_cert_chain(
            certificate / 'cert.pem', certificate / 'key.pem'
        )
        self._head = b'HTTP/1.1 200 OK\r\n' + header + b'\r\n\r\n'
        self._body = body

    def handle(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        incoming, outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
        tls = self._context.wrap_bio(incoming, outgoing, server_side=True)
        for step in (tls.do_handshake, tls.read):
            self._complete(step, connection, incoming, outgoing)
        tls.write(self._head)
        connection.sendall(outgoing.read())
        time.sleep(0.1)
        tls.write(self._body)
        # Sends the notice that ends the connection, and awaits the other's.
        with contextlib.suppress(ssl.SSLError):
            tls.unwrap()
        records = outgoing.read()
        for begin in range(0, len(records), 3000):
            connection.sendall(records[begin : begin + 3000])
            time.sleep(0.02)

    def _complete(self, step, connection, incoming, outgoing):
        while True:
            try:
                step()
            except ssl.SSLWantReadError:
                connection.sendall(outgoing.read())
                incoming.write(connection.recv(65_536))
            else:
                connection.sendall(outgoing.read())
                return


class TestRecords:
    @pytest.mark.parametrize('name', FRAMED)
    def test_record_that_arrives_in_parts_is_read_whole(
        self, certificate, name
    ):
        """Guards against an answer of a peer that is lost, or cut short."""
        server = SplitRecords(certificate, *FRAMED[name])
        with run_server(server.handle) as address:
            connection = AbortableConnection()
            response = send_request(
                'POST',
                address,
                '/',
                b'x',
                {},
                5,
                connection,
                str(certificate / 'cert.pem'),
            )
            body = ResponseBody(response, connection)
            content = b''
            while not body.ended:
                ready = select.poll()
                ready.register(body.fileno(), select.POLLIN)
                assert ready.poll(support.TIMEOUT_S * 1000)
                content += body.read_available(is_readable=True)
        assert content == ANSWER


class TestStop:
    def test_slow_reader_gets_its_whole_answer(self, certificate):
        """Guards against an answer that continues in plain text at the exit."""
        limits = ServerLimits(4, SLOW_SENDER_S, 4096, 1000)
        server = BoundedServer('127.0.0.1:0', answer, limits)
        enable_tls(
            server,
            str(certificate / 'cert.pem'),
            str(certificate / 'key.pem'),
        )
        start_server(server)
        context = ssl.create_default_context(
            cafile=str(certificate / 'cert.pem')
        )
        plain = socket.create_connection(server.bind_addr, timeout=20)
        with context.wrap_socket(plain, server_hostname='127.0.0.1') as sock:
            sock.sendall((HEAD % b'/stream') + b'body')
            data = sock.recv(100)
            thread = stop_in_background(server)
            time.sleep(FORCED_CLOSE_S + 1)
            data += support.read_all(sock)
        thread.join(20)
        assert data.count(b'x') == len(STREAM_PART)
        assert data.endswith(b'6\r\nFINISH\r\n0\r\n\r\n')
