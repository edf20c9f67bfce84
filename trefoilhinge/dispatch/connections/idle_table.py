"""Idle connections of an instance, by target."""

from collections.abc import Callable, Collection

from attrs import define, field, frozen

from trefoilhinge.dispatch.connections.fitness import CloseReason
from trefoilhinge.dispatch.departures import Incarnation
from trefoilhinge.dispatch.targets import TargetRecord

# After a call met a connection that had ended, its target keeps none for this
# long. Each such call takes from the retry budget.
SUSPENSION_S = 30.0


@frozen
class IdleConnection:
    """A connection that carries no call.

    :ivar number: number of the connection, unique within the process.
    :ivar incarnation: of the target that it was opened to.
    :ivar since_s: monotonic seconds at which its last answer ended.
    :ivar expires_s: monotonic seconds from which it is not used any more.
    :ivar carried: hashes of the identifiers of the calls that it carried.
    """

    number: int
    incarnation: Incarnation
    address: str
    since_s: float
    expires_s: float
    carried: Collection[int]

    def fits(self, record: TargetRecord) -> bool:
        """Return whether a record is that of its target's incarnation."""
        return (
            self.incarnation == record.incarnation
            and self.address == record.address
        )


@define
class IdleTable:
    """The idle connections, those of a target in the order of their use."""

    _by_target: dict[str, list[IdleConnection]] = field(factory=dict)
    _suspended_until_s: dict[Incarnation, float] = field(factory=dict)
    _count: int = 0

    def __len__(self) -> int:
        """Return the number of connections."""
        return self._count

    def count_at(self, target: str) -> int:
        """Return the number of connections to a target."""
        return len(self._by_target.get(target, ()))

    def suspend(
        self, incarnation: Incarnation, now_s: float
    ) -> list[IdleConnection]:
        """Keep no connection to a target for a time.

        :return: those that were idle, which are removed.
        """
        self._suspended_until_s[incarnation] = now_s + SUSPENSION_S
        found = list(self._by_target.get(incarnation[0], ()))
        for idle in found:
            self.remove(idle)
        return found

    def is_suspended(self, incarnation: Incarnation, now_s: float) -> bool:
        """Return whether no connection to a target is kept now."""
        return now_s < self._suspended_until_s.get(incarnation, 0)

    def add(self, idle: IdleConnection) -> None:
        """Add a connection whose answer has just ended."""
        self._by_target.setdefault(idle.incarnation[0], []).append(idle)
        self._count += 1

    def take(
        self, record: TargetRecord, request_hash: int, now_s: float
    ) -> IdleConnection | None:
        """Remove and return a connection for a call, if there is one.

        The one that was used last is the least likely to be closed by now. One
        that carried a call with the same identifier is left out: a late answer
        to that call could not be told from this one's.

        :param request_hash: hash of the identifier of the call.
        """
        for idle in reversed(self._by_target.get(record.name, ())):
            if (
                idle.fits(record)
                and now_s < idle.expires_s
                and request_hash not in idle.carried
            ):
                self.remove(idle)
                return idle
        return None

    def remove(self, idle: IdleConnection) -> bool:
        """Remove a connection; return whether it was idle."""
        target = idle.incarnation[0]
        kept = self._by_target.get(target, [])
        if idle not in kept:
            return False
        kept.remove(idle)
        self._count -= 1
        if not kept:
            self._by_target.pop(target)
        return True

    def remove_unusable(
        self,
        find_record: Callable[[str], TargetRecord | None],
        now_s: float,
    ) -> list[tuple[IdleConnection, CloseReason]]:
        """Remove the connections that no call may use any more.

        :param find_record: returns the record of a target that takes calls.
        :return: the removed connections, each with the reason.
        """
        self._suspended_until_s = {
            incarnation: until_s
            for incarnation, until_s in self._suspended_until_s.items()
            if now_s < until_s
        }
        found = []
        for target, kept in self._by_target.items():
            record = find_record(target)
            for idle in kept:
                if record is None or not idle.fits(record):
                    found.append((idle, CloseReason.departed))
                elif now_s >= idle.expires_s:
                    found.append((idle, CloseReason.expired))
        for idle, _ in found:
            self.remove(idle)
        return found

    def remove_all(self) -> list[IdleConnection]:
        """Remove and return all connections."""
        found = [idle for kept in self._by_target.values() for idle in kept]
        self._by_target.clear()
        self._count = 0
        return found
