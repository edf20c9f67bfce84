"""What an instance knows of waiting calls and of released capacity."""

from collections.abc import Callable

from attrs import define, field

from trefoilhinge.dispatch.admission.absences import AbsenceWatch
from trefoilhinge.dispatch.admission.capacity import CapacityTable
from trefoilhinge.dispatch.admission.needs import HintedOutput, OutputEstimator
from trefoilhinge.dispatch.admission.rooms import ServiceRooms
from trefoilhinge.dispatch.admission.waiting import WaitingTable
from trefoilhinge.dispatch.loads import Run


def _ignore_change(service: str) -> None:
    """Do nothing; no call waits yet."""


@define
class AdmissionRecord:
    """Record of waiting calls; it stays empty where admission is off.

    :ivar is_enabled: whether callers may compete for too little capacity.
    :ivar waiting: the waiting calls of all instances.
    :ivar capacity: what was learned of the targets' capacity.
    :ivar output_estimator: estimates the output of calls.
    :ivar notify_change: called with a service of which capacity may have
        become free.
    :ivar mark_change: called with a service for which a call that waited was
        placed, and no longer keeps targets from those behind it.
    """

    is_enabled: bool = False
    waiting: WaitingTable = field(factory=WaitingTable)
    capacity: CapacityTable = field(factory=CapacityTable)
    output_estimator: OutputEstimator = field(factory=HintedOutput)
    notify_change: Callable[[str], None] = _ignore_change
    mark_change: Callable[[str], None] = _ignore_change
    _rooms: dict[str, ServiceRooms] = field(factory=dict)
    _absences: dict[str, AbsenceWatch] = field(factory=dict)

    def select_rooms(self, service: str) -> ServiceRooms:
        """Return the free capacity of a service, which may be outdated."""
        return self._rooms.setdefault(service, ServiceRooms())

    def select_absences(self, service: str) -> AbsenceWatch:
        """Return the waiting calls that do not take what they are allotted."""
        return self._absences.setdefault(service, AbsenceWatch())

    def record_start(self, run: Run, now_s: float) -> None:
        """Record that a run was placed, perhaps of a call that waited."""
        if not self.is_enabled:
            return
        started = self.waiting.record_start(run.key, now_s)
        if started is not None:
            self.mark_change(started.service)

    def record_end(self, run: Run, service: str, now_s: float) -> None:
        """Record that a run ended."""
        if not self.is_enabled:
            return
        targets = [part.target for part in run.parts if part.has_slot]
        self.capacity.record_end(service, targets, now_s)
        self.notify_change(service)

    def record_full(self, target: str, now_s: float) -> None:
        """Record that a target refused a call as full."""
        if self.is_enabled:
            self.capacity.record_full(target, now_s)

    def record_target(self, service: str) -> None:
        """Record that a target of a service changed."""
        if self.is_enabled:
            self.select_rooms(service).expire()
            self.notify_change(service)

    def remove_origin(self, origin: str) -> None:
        """Remove what waits at an instance that has ended."""
        if not self.is_enabled:
            return
        services = {
            call.service for call in self.waiting.list_by_origin(origin)
        }
        self.waiting.remove_origin(origin)
        for service in services:
            self.notify_change(service)
