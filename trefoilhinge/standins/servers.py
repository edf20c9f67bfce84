"""WSGI servers on loopback ports."""

import threading
from collections.abc import Callable
from typing import Any

from attrs import define
from cheroot import wsgi

THREADS = 16
EXPIRATION_INTERVAL_S = 0.1


@define
class StandInServer:
    """A running server.

    :ivar address: ``host:port`` that it listens on.
    """

    address: str
    _server: wsgi.Server

    def stop(self) -> None:
        """Stop the server."""
        self._server.stop()


def start_server(
    application: Callable[..., Any],
    port: int = 0,
    threads: int = THREADS,
) -> StandInServer:
    """Start a server on a loopback port.

    :param port: port to listen on; zero selects a free one.
    :param threads: size of the thread pool.
    """
    server = wsgi.Server(
        ('127.0.0.1', port),
        application,
        numthreads=threads,
        max=threads,
    )
    server.expiration_interval = EXPIRATION_INTERVAL_S
    prepared = threading.Event()

    def serve() -> None:
        # The pool's threads inherit the daemon flag of this thread.
        server.prepare()
        prepared.set()
        server.serve()

    threading.Thread(target=serve, daemon=True).start()
    prepared.wait()
    bound = server.bind_addr[1]
    return StandInServer(f'127.0.0.1:{bound}', server)
