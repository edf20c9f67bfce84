"""Runs a WSGI application on a loopback port."""

import threading
from collections.abc import Callable
from typing import Any

from attrs import define
from cheroot import wsgi

THREADS = 16
EXPIRATION_INTERVAL_S = 0.1


@define
class StandInServer:
    """A server of one stand-in.

    :ivar address: ``host:port`` that it listens at.
    """

    address: str
    _server: wsgi.Server

    def stop(self) -> None:
        """Close the listener."""
        self._server.stop()


def start_server(
    application: Callable[..., Any],
    port: int = 0,
    threads: int = THREADS,
) -> StandInServer:
    """Serve an application on loopback; port zero takes a free one."""
    server = wsgi.Server(
        ('127.0.0.1', port),
        application,
        numthreads=threads,
        max=threads,
    )
    server.expiration_interval = EXPIRATION_INTERVAL_S
    prepared = threading.Event()

    def serve() -> None:
        # Threads of the pool inherit that they are daemons from this one.
        server.prepare()
        prepared.set()
        server.serve()

    threading.Thread(target=serve, daemon=True).start()
    prepared.wait()
    bound = server.bind_addr[1]
    return StandInServer(f'127.0.0.1:{bound}', server)
