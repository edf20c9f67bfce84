"""Runs each fault at each step and checks what must always hold."""

import itertools
from collections.abc import Callable, Iterable

from attrs import define, field, frozen

from trefoilhinge.faults.callers import Callers, Kind
from trefoilhinge.faults.catalogue import FAULTS, Scene
from trefoilhinge.faults.promises import check_promises, settle_orders
from trefoilhinge.faults.scenarios import END_S, schedule_traffic
from trefoilhinge.faults.watcher import Violation, Watcher
from trefoilhinge.faults.world import FaultWorld, make_fault_world
from trefoilhinge.standins.simulation.fault_points import FaultPoint, FaultSite

SECOND_DELAYS_S = (0, 0.4, 2.5)
_NO_REQUEST = frozenset(
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

Prepare = Callable[[FaultWorld], None]


@frozen
class Cell:
    """One or two faults at one step of one kind of request.

    :ivar faults: names of the faults, in the order of their injection.
    :ivar kind: kind of request, none for orders and documents.
    """

    faults: tuple[str, ...]
    step: FaultPoint
    kind: Kind | None = None

    def __str__(self) -> str:
        """Return the name by which a cell is chosen and printed."""
        name = f'{"+".join(self.faults)}/{self.step}'
        return f'{name}/{self.kind}' if self.kind else name


@frozen
class CellResult:
    """How one cell ended.

    :ivar reason: why the cell does not apply, empty if it was run.
    """

    cell: Cell
    violations: tuple[Violation, ...] = ()
    reason: str = ''


@define
class CellProbe:
    """Injects a cell's faults when its step is first reached."""

    cell: Cell
    scene: Scene
    sites: set[tuple[FaultPoint, Kind | None]] = field(factory=set)
    struck: bool = False

    def reach(self, site: FaultSite) -> bool:
        """Take a step; true loses the finish marker that is the step."""
        kind = find_kind(site)
        self.sites.add((site.point, kind))
        if self.struck or site.point is not self.cell.step:
            return False
        if kind is not self.cell.kind or self.scene.world.now_s < 3:
            return False
        self.struck = True
        first, *others = self.cell.faults
        self._strike(first, site)
        for name in others:
            self._strike_after(name, site, find_delay_s(self.cell))
        return site.point is FaultPoint.FINISH_LOST

    def _strike_after(self, name: str, site: FaultSite, delay_s: float) -> None:
        if delay_s:
            simulation = self.scene.world.world.simulation
            simulation.schedule(delay_s, lambda: self._strike(name, site))
        else:
            self._strike(name, site)

    def _strike(self, name: str, site: FaultSite) -> None:
        fault = FAULTS[name]
        undo = fault.strike(self.scene, site)
        self.scene.world.world.simulation.schedule(fault.lasts_s, undo)


def find_delay_s(cell: Cell) -> float:
    """Return the seconds between a pair's faults; they differ by cell."""
    return SECOND_DELAYS_S[len(str(cell)) % len(SECOND_DELAYS_S)]


def find_kind(site: FaultSite) -> Kind | None:
    """Return the kind of request that a site belongs to."""
    if site.point in _NO_REQUEST or not site.subject:
        return None
    return Kind(site.subject.partition('-')[0])


def run_cell(
    cell: Cell, seed: int, prepare: Prepare | None = None
) -> CellResult:
    """Run one cell in a world of its own.

    :param prepare: alters the world before it starts, to prove that its
        checks can fail.
    """
    probe, watcher = play_cell(cell, seed, prepare)
    if cell.faults and not probe.struck:
        return CellResult(cell, reason='the step was not reached')
    scene = probe.scene
    found = tuple(
        check_promises(scene.world, scene.paused_until_s, scene.stopped),
    )
    late = settle_orders(scene.world)
    return CellResult(cell, (*watcher.violations, *found, *late))


def play_cell(
    cell: Cell,
    seed: int,
    prepare: Prepare | None = None,
) -> tuple[CellProbe, Watcher]:
    """Let a world run with a cell's faults and settle."""
    world = make_fault_world(seed)
    if prepare is not None:
        prepare(world)
    callers = Callers(world)
    probe = CellProbe(cell, Scene(world, callers))
    watcher = Watcher(world)
    world.world.probe = probe
    world.start()
    watcher.start()
    callers.start()
    schedule_traffic(world, callers, seed)
    world.world.simulation.run_until(END_S)
    return probe, watcher


def list_reached(seed: int) -> list[tuple[FaultPoint, Kind | None]]:
    """Return the steps that each kind of request comes to without faults."""
    nothing = Cell((), FaultPoint.RECEIVED)
    probe, _ = play_cell(nothing, seed)
    order = list(FaultPoint)
    return sorted(
        probe.sites,
        key=lambda pair: (order.index(pair[0]), str(pair[1])),
    )


def list_cells(reached: Iterable[tuple[FaultPoint, Kind | None]]) -> list[Cell]:
    """Return every fault at every step that is reached."""
    return [
        Cell((fault,), step, kind) for fault in FAULTS for step, kind in reached
    ]


def list_pairs(reached: Iterable[tuple[FaultPoint, Kind | None]]) -> list[Cell]:
    """Return each pair of faults at every step that is reached."""
    return [
        Cell(pair, step, kind)
        for pair in itertools.combinations(FAULTS, 2)
        for step, kind in reached
    ]


def list_unreached(
    reached: Iterable[tuple[FaultPoint, Kind | None]],
) -> list[CellResult]:
    """Return cells of steps that no request of the world comes to."""
    steps = {step for step, _ in reached}
    return [
        CellResult(Cell((fault,), step), reason='no call comes to this step')
        for fault in FAULTS
        for step in FaultPoint
        if step not in steps
    ]
