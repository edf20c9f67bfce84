"""Free capacity of a service's targets, kept up to date by what changes."""

from collections.abc import Sequence

from attrs import define, evolve, field

from trefoilhinge.dispatch.admission.capacity import (
    TargetRoom,
    count_ahead,
    make_room,
)
from trefoilhinge.dispatch.documents import EngineProfile
from trefoilhinge.dispatch.loads import LoadTable, TargetLoad
from trefoilhinge.dispatch.targets import TargetRecord

# Which targets are usable changes as ejections and rests end, and is then seen
# late by this time at most.
LISTING_INTERVAL_S = 0.25
# While no call waits, the list only shows whether capacity is ample. The search
# for the targets of a call finds out by itself which ones are usable.
IDLE_LISTING_INTERVAL_S = 2.0


@define
class ServiceRooms:
    """Free capacity of the targets of one service.

    :ivar rooms: free capacity by the name of the target.
    :ivar version: number of times that capacity appeared.
    """

    rooms: dict[str, TargetRoom] = field(factory=dict)
    version: int = 0
    _records: dict[str, TargetRecord] = field(factory=dict)
    _loads: dict[str, TargetLoad] = field(factory=dict)
    _changes: dict[str, int] = field(factory=dict)
    _listed_s: float = float('-inf')
    _engine: EngineProfile | None = None
    _ahead: int = 0
    _full: set[str] = field(factory=set)

    def is_listed(self, now_s: float, *, is_idle: bool) -> bool:
        """Return whether the usable targets were listed recently.

        :param is_idle: whether no call waits for the service.
        """
        interval_s = IDLE_LISTING_INTERVAL_S if is_idle else LISTING_INTERVAL_S
        return bool(self._records) and now_s < self._listed_s + interval_s

    def expire(self) -> None:
        """Let the usable targets be listed again."""
        self._listed_s = float('-inf')

    def list_targets(
        self, records: Sequence[TargetRecord], loads: LoadTable, now_s: float
    ) -> None:
        """Take over which targets are usable."""
        self._listed_s = now_s
        listed = {record.name: record for record in records}
        before = self._records
        self._records = listed
        self._loads = {name: loads.get(name) for name in listed}
        for name in before.keys() - listed.keys():
            self.rooms.pop(name, None)
            self._changes.pop(name, None)
        for name, record in listed.items():
            # A record is replaced rather than changed.
            if before.get(name) is not record:
                self._changes.pop(name, None)

    def refresh(
        self,
        engine: EngineProfile | None,
        release_per_s: float | None,
        full: set[str],
    ) -> None:
        """Compute the rooms of the targets of which something changed.

        :param release_per_s: ended runs per second; none if too few are known.
        :param full: targets that refused a call as full just now.
        """
        ahead = count_ahead(release_per_s, len(self._records))
        if ahead != self._ahead or engine != self._engine:
            self._changes.clear()
            self._ahead = ahead
            self._engine = engine
        for name in self._full ^ full:
            self._changes.pop(name, None)
        self._full = full
        known = self._changes
        for name, load in self._loads.items():
            if known.get(name) != load.changes:
                known[name] = load.changes
                room = make_room(self._records[name], load, engine, ahead)
                if name in full:
                    room = evolve(room, slots=min(0, room.slots))
                self._put(room)

    def _put(self, room: TargetRoom) -> None:
        before = self.rooms.get(room.target)
        self.rooms[room.target] = room
        if (
            before is None
            or room.slots > max(0, before.slots)
            or room.memory_tokens > before.memory_tokens
        ):
            self.version += 1
