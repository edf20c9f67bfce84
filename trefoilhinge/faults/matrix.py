"""Runs each fault at each fault point and checks the invariants."""

import itertools
from collections.abc import Callable, Iterable

from attrs import define, field, frozen

from trefoilhinge.faults.callers import Callers, RequestKind
from trefoilhinge.faults.catalogue import FAULTS, InjectionContext
from trefoilhinge.faults.invariants import (
    check_invariants,
    wait_for_convergence,
)
from trefoilhinge.faults.monitor import InvariantMonitor, Violation
from trefoilhinge.faults.traffic import CELL_END_S, schedule_traffic
from trefoilhinge.faults.world import FaultWorld, make_fault_world
from trefoilhinge.standins.simulation.fault_points import FaultPoint, FaultSite

SECOND_FAULT_DELAYS_S = (0, 0.4, 2.5)
_POINTS_WITHOUT_REQUEST = frozenset(
    (
        FaultPoint.STATE_READ,
        FaultPoint.ORDER_SENT,
        FaultPoint.ORDER_TAKEN,
        FaultPoint.ORDER_ANSWERED,
        FaultPoint.DOCUMENT_READ,
        FaultPoint.DOCUMENT_ACCEPTED,
        FaultPoint.DOCUMENT_PASSED,
    )
)

PrepareWorld = Callable[[FaultWorld], None]


@frozen
class Cell:
    """One or two faults at one fault point of one kind of request.

    :ivar faults: names of the faults, in the order of their injection.
    :ivar kind: kind of the request, none for orders and documents.
    """

    faults: tuple[str, ...]
    point: FaultPoint
    kind: RequestKind | None = None

    def __str__(self) -> str:
        """Return the name that selects the cell and is printed."""
        name = f'{"+".join(self.faults)}/{self.point}'
        return f'{name}/{self.kind}' if self.kind else name


@frozen
class CellResult:
    """Result of one cell.

    :ivar reason: why the cell is not applicable, empty if it was run.
    """

    cell: Cell
    violations: tuple[Violation, ...] = ()
    reason: str = ''


@define
class CellProbe:
    """Injects the faults of a cell when its fault point is first reached.

    Nothing is injected before 3 s of simulated time: traffic starts then.

    :ivar reached: fault points that were reached, with the kind of their
        request.
    :ivar injected: whether the faults were injected.
    """

    cell: Cell
    context: InjectionContext
    reached: set[tuple[FaultPoint, RequestKind | None]] = field(factory=set)
    injected: bool = False

    def reach(self, site: FaultSite) -> bool:
        """Record a fault point and inject the faults if it is the cell's.

        :return: true if it is the cell's and ``FINISH_LOST``, to drop the
            finish marker.
        """
        kind = find_request_kind(site)
        self.reached.add((site.point, kind))
        if self.injected or site.point is not self.cell.point:
            return False
        if kind is not self.cell.kind or self.context.world.now_s < 3:
            return False
        self.injected = True
        first, *others = self.cell.faults
        self._inject(first, site)
        for name in others:
            self._inject_after(name, site, find_second_fault_delay_s(self.cell))
        return site.point is FaultPoint.FINISH_LOST

    def _inject_after(self, name: str, site: FaultSite, delay_s: float) -> None:
        if delay_s:
            simulation = self.context.world.world.simulation
            simulation.schedule(delay_s, lambda: self._inject(name, site))
        else:
            self._inject(name, site)

    def _inject(self, name: str, site: FaultSite) -> None:
        fault = FAULTS[name]
        undo = fault.inject(self.context, site)
        self.context.world.world.simulation.schedule(fault.duration_s, undo)


def find_second_fault_delay_s(cell: Cell) -> float:
    """Return the delay between the two faults of a cell; it varies by cell."""
    return SECOND_FAULT_DELAYS_S[len(str(cell)) % len(SECOND_FAULT_DELAYS_S)]


def find_request_kind(site: FaultSite) -> RequestKind | None:
    """Return the kind of the request of a site, none if it has no request."""
    if site.point in _POINTS_WITHOUT_REQUEST or not site.subject:
        return None
    return RequestKind(site.subject.partition('-')[0])


def run_cell(
    cell: Cell, seed: int, prepare: PrepareWorld | None = None
) -> CellResult:
    """Run one cell in a new simulation.

    :param prepare: alters the deployment before it starts, so that tests can
        prove that a check fails for a broken node.
    """
    probe, monitor = simulate_cell(cell, seed, prepare)
    if cell.faults and not probe.injected:
        return CellResult(cell, reason='the fault point was not reached')
    context = probe.context
    found = tuple(
        check_invariants(context.world, context.resumed_s, context.stopped),
    )
    unconverged = wait_for_convergence(context.world)
    return CellResult(cell, (*monitor.violations, *found, *unconverged))


def simulate_cell(
    cell: Cell,
    seed: int,
    prepare: PrepareWorld | None = None,
) -> tuple[CellProbe, InvariantMonitor]:
    """Simulate a deployment with the faults of a cell until it has settled."""
    world = make_fault_world(seed)
    if prepare is not None:
        prepare(world)
    callers = Callers(world)
    probe = CellProbe(cell, InjectionContext(world, callers))
    monitor = InvariantMonitor(world)
    world.world.probe = probe
    world.start()
    monitor.start()
    callers.start()
    schedule_traffic(world, callers, seed)
    world.world.simulation.run_until(CELL_END_S)
    return probe, monitor


def list_reached_points(
    seed: int,
) -> list[tuple[FaultPoint, RequestKind | None]]:
    """Return the fault points that a simulation without faults reaches.

    Each comes with the kind of the request that reached it.
    """
    faultless_cell = Cell((), FaultPoint.RECEIVED)
    probe, _ = simulate_cell(faultless_cell, seed)
    order = list(FaultPoint)
    return sorted(
        probe.reached,
        key=lambda pair: (order.index(pair[0]), str(pair[1])),
    )


def list_cells(
    reached: Iterable[tuple[FaultPoint, RequestKind | None]],
) -> list[Cell]:
    """Return a cell for each fault at each reached fault point."""
    return [
        Cell((fault,), point, kind)
        for fault in FAULTS
        for point, kind in reached
    ]


def list_pair_cells(
    reached: Iterable[tuple[FaultPoint, RequestKind | None]],
) -> list[Cell]:
    """Return a cell for each pair of faults at each reached fault point."""
    return [
        Cell(pair, point, kind)
        for pair in itertools.combinations(FAULTS, 2)
        for point, kind in reached
    ]


def list_unreached_cells(
    reached: Iterable[tuple[FaultPoint, RequestKind | None]],
) -> list[CellResult]:
    """Return not-applicable results of fault points that are not reached."""
    points = {point for point, _ in reached}
    return [
        CellResult(
            Cell((fault,), point), reason='no request reaches this fault point'
        )
        for fault in FAULTS
        for point in FaultPoint
        if point not in points
    ]
