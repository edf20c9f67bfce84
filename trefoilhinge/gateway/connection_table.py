"""Bound on the connections that a listener keeps open."""

import sys
from collections.abc import Iterator
from typing import Generic, Protocol, TypeVar

from attrs import define, field

from trefoilhinge.gateway.logs import EventLog
from trefoilhinge.gateway.metrics import MetricsRegistry

# Connections that were told to end, and have not ended yet, on top.
ENDING_MARGIN = 32


class BoundedConnection(Protocol):
    """A connection that can be ended in favour of another one."""

    def make_room(self) -> None:
        """End the wait for a request, with a refusal if a part arrived."""
        ...

    def close_refused(self) -> None:
        """Close the connection, whose request was refused."""
        ...


Connection = TypeVar('Connection', bound=BoundedConnection)


@define(eq=False)
class ConnectionTable(Generic[Connection]):
    """The open connections of a listener.

    Beyond the bound, a new connection takes the place of the one that has
    waited longest: of those whose request was refused, then of those without a
    complete request. Connections whose calls are served are kept.

    Iteration yields all that are open.
    """

    _name: str
    _maximum: int
    _log: EventLog | None = None
    _metrics: MetricsRegistry | None = None
    _open: set[Connection] = field(factory=set)
    # In the order in which they began to wait.
    _waiting: dict[Connection, None] = field(factory=dict)
    _refused: dict[Connection, None] = field(factory=dict)
    _ending: set[Connection] = field(factory=set)
    _rejections: int = 0

    def __iter__(self) -> Iterator[Connection]:
        """Return an iterator over the open connections."""
        return iter(tuple(self._open))

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    @property
    def is_ending(self) -> bool:
        """Return whether so many connections end that others should wait."""
        return len(self._ending) >= ENDING_MARGIN

    def admit(self) -> bool:
        """Make room for a connection; return whether there is any."""
        if len(self) < self._maximum:
            return True
        if self._refused:
            found = next(iter(self._refused))
            self._refused.pop(found)
            self._ending.add(found)
            found.close_refused()
        elif self._waiting:
            found = next(iter(self._waiting))
            self._waiting.pop(found)
            self._ending.add(found)
            self._record('connections_evicted')
            found.make_room()
        else:
            self._record('connections_rejected')
            return False
        return True

    def add(self, connection: Connection) -> None:
        """Record a connection that waits for a request."""
        self._open.add(connection)
        self._waiting[connection] = None

    def begin_wait(self, connection: Connection) -> None:
        """Record that a connection waits for its next request."""
        self._waiting[connection] = None

    def begin_call(self, connection: Connection) -> None:
        """Record that the request of a connection is complete."""
        self._waiting.pop(connection, None)
        self._ending.discard(connection)

    def begin_close(self, connection: Connection) -> None:
        """Record that a connection only lets its caller read a refusal."""
        self._waiting.pop(connection, None)
        self._ending.discard(connection)
        self._refused[connection] = None

    def remove(self, connection: Connection) -> None:
        """Forget a connection that has ended."""
        self._open.discard(connection)
        self._waiting.pop(connection, None)
        self._refused.pop(connection, None)
        self._ending.discard(connection)

    def report(self) -> bool:
        """Write how many connections found no room since the last report.

        :return: whether there were any.
        """
        count = self._rejections
        self._rejections = 0
        if count and self._log is not None:
            self._log.write(
                'connections_crowded',
                listener=self._name,
                count=count,
                open=len(self),
                limit=self._maximum,
            )
        return bool(count)

    def _record(self, counter: str) -> None:
        self._rejections += 1
        if self._metrics is not None:
            self._metrics.increment(counter, listener=self._name)


def make_unbounded_table() -> ConnectionTable[Connection]:
    """Return a table for connections that another bound applies to."""
    return ConnectionTable('', sys.maxsize)
