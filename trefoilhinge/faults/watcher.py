"""Watches a deployment while it runs, by what its fakes record."""

from collections import deque

from attrs import define, field, frozen

from trefoilhinge.core.identifiers import InstanceName
from trefoilhinge.faults.world import INSTANCES, FaultWorld
from trefoilhinge.standins.simulation.driver import NodeDriver
from trefoilhinge.standins.simulation.world import PLATFORM_ENDPOINT

SAMPLE_INTERVAL_S = 0.25
IN_FORCE_S = 6.0
LEAVING_S = 3.0
_WINDOW = int(IN_FORCE_S / SAMPLE_INTERVAL_S)
_LEAVING_WINDOW = int(LEAVING_S / SAMPLE_INTERVAL_S)


@frozen
class Violation:
    """One promise that did not hold.

    :ivar promise: number of the promise, from one.
    :ivar detail: what was seen.
    """

    promise: int
    detail: str


@frozen
class _Sample:
    revisions: dict[str, int]
    incarnations: dict[str, int]
    links: frozenset[frozenset[str]]
    served: int | None


@define
class Watcher:
    """Samples revisions, links and leaving targets at a fixed interval.

    :ivar violations: what was seen to be wrong while it ran.
    """

    world: FaultWorld
    violations: list[Violation] = field(factory=list)
    _samples: deque[_Sample] = field(
        factory=lambda: deque(maxlen=_WINDOW + 1),
    )
    _highest: dict[tuple[str, int], int] = field(factory=dict)
    _ready: set[tuple[str, int]] = field(factory=set)
    _seen: set[str] = field(factory=set)
    _starts_seen: int = 0

    def start(self) -> None:
        """Take a sample now and again at each interval."""
        self._samples.append(self._sample())
        for name in INSTANCES:
            if self.world.is_up(name):
                self._check_instance(name)
        self._check_leaving()
        self.world.world.simulation.schedule(SAMPLE_INTERVAL_S, self.start)

    def report(self, promise: int, detail: str) -> None:
        """Record a violation once."""
        if detail not in self._seen:
            self._seen.add(detail)
            self.violations.append(Violation(promise, detail))

    def _sample(self) -> _Sample:
        up = [name for name in INSTANCES if self.world.is_up(name)]
        drivers = {name: self._find(name) for name in up}
        return _Sample(
            {name: find_revision(one) for name, one in drivers.items()},
            {name: one.incarnation for name, one in drivers.items()},
            frozenset(
                frozenset((one, other))
                for one in up
                for other in (*up, PLATFORM_ENDPOINT)
                if one != other and self._is_linked(one, other)
            ),
            self._find_served(),
        )

    def _find(self, name: str) -> NodeDriver:
        return self.world.drivers[InstanceName(name)]

    def _is_linked(self, one: str, other: str) -> bool:
        network = self.world.world.network
        ways = ((one, other), (other, one))
        return not any(
            network.is_partitioned(*way) or network.delays_s.get(way, 0) > 0
            for way in ways
        )

    def _find_served(self) -> int | None:
        platform = self.world.world.platform
        if platform.down:
            return None
        count = len(platform.published)
        return platform.served % count + 1

    def _check_instance(self, name: str) -> None:
        driver = self._find(name)
        life = (name, driver.incarnation)
        revision = find_revision(driver)
        highest = self._highest.get(life, 0)
        if revision < highest:
            self.report(8, f'{name} went from {highest} back to {revision}')
        self._highest[life] = max(highest, revision)
        if driver.ready and life not in self._ready:
            self._ready.add(life)
            self._check_revision(name, revision, self._count_samples(life))
        if len(self._samples) > _WINDOW:
            self._check_revision(name, revision, _WINDOW + 1)

    def _count_samples(self, life: tuple[str, int]) -> int:
        name, incarnation = life
        return sum(
            one.incarnations.get(name) == incarnation for one in self._samples
        )

    def _check_revision(self, name: str, revision: int, count: int) -> None:
        """Compare with what the linked held ``count`` samples ago."""
        window = list(self._samples)[-count:]
        lives = {one.incarnations.get(name) for one in window}
        if not window or lives != {self._find(name).incarnation}:
            return
        expected = 0
        for peer in window[0].revisions:
            link = frozenset((name, peer))
            if all(link in one.links for one in window):
                expected = max(expected, window[0].revisions[peer])
        own_link = frozenset((name, PLATFORM_ENDPOINT))
        # What was published less than the time limit ago may still be read.
        if count > _WINDOW and all(own_link in one.links for one in window):
            served = [one.served or 0 for one in window]
            expected = max(expected, min(served))
        if revision < expected and count > 1:
            self.report(
                8,
                f'{name} runs on {revision} where {expected} is in force '
                f'at {self.world.now_s:.1f} s',
            )

    def _check_leaving(self) -> None:
        world = self.world.world
        for target, noticed_s in world.leaving_noticed_s.items():
            for start in world.starts.get(target, ()):
                late_s = start.at_s - noticed_s
                if late_s > LEAVING_S and self._is_informed(start.instance):
                    self.report(
                        6,
                        f'{target} began {start.request} {late_s:.1f} s after '
                        f'it was known to leave, sent by {start.instance}',
                    )

    def _is_informed(self, name: str) -> bool:
        window = list(self._samples)[-_LEAVING_WINDOW:]
        return all(any(name in link for link in one.links) for one in window)


def find_revision(driver: NodeDriver) -> int:
    """Return the revision in force at an instance."""
    return driver.core.parts.keeper.revision
