"""Monitors the invariants of a deployment while the simulation runs."""

from collections import deque

from attrs import define, field, frozen

from trefoilhinge.core.identifiers import InstanceName
from trefoilhinge.faults.world import INSTANCES, FaultWorld
from trefoilhinge.standins.simulation.driver import NodeDriver
from trefoilhinge.standins.simulation.world import PLATFORM_ENDPOINT

SAMPLE_INTERVAL_S = 0.25
PROPAGATION_LIMIT_S = 6.0
LEAVING_LIMIT_S = 3.0
_PROPAGATION_SAMPLES = int(PROPAGATION_LIMIT_S / SAMPLE_INTERVAL_S)
_LEAVING_SAMPLES = int(LEAVING_LIMIT_S / SAMPLE_INTERVAL_S)


@frozen
class Violation:
    """One violation of an invariant.

    The invariants are:

    1. A call ends by its deadline, and its instance no longer tracks it.
    2. No engine keeps memory or streams of calls that have ended.
    3. A finished answer is complete, in order and of the call's own stream.
    4. A request that was refused as ``not_run`` has not run.
    5. A request that is not idempotent runs at most once.
    6. A target starts no work later than ``LEAVING_LIMIT_S`` after it is known
       to leave.
    7. A planned stop neither refuses nor aborts calls.
    8. No instance reverts to an older revision, a revision reaches connected
       instances within ``PROPAGATION_LIMIT_S``, and all engines come to run the
       desired version.

    :ivar invariant: number of the invariant, from 1.
    :ivar detail: observation that violates it.
    """

    invariant: int
    detail: str


@frozen
class _Sample:
    """State of the deployment at one time.

    :ivar revisions: accepted revision by running instance.
    :ivar incarnations: incarnation by running instance.
    :ivar connected_pairs: pairs of running instances, and of an instance and
        the platform, whose messages arrive without added delay.
    :ivar served: revision that the platform serves, none while it is down.
    """

    revisions: dict[str, int]
    incarnations: dict[str, int]
    connected_pairs: frozenset[frozenset[str]]
    served: int | None


@define
class InvariantMonitor:
    """Checks revisions and leaving targets at a fixed sampling interval.

    :ivar violations: violations that were found so far.
    """

    world: FaultWorld
    violations: list[Violation] = field(factory=list)
    _samples: deque[_Sample] = field(
        factory=lambda: deque(maxlen=_PROPAGATION_SAMPLES + 1),
    )
    _highest: dict[tuple[str, int], int] = field(factory=dict)
    _ready: set[tuple[str, int]] = field(factory=set)
    _reported: set[str] = field(factory=set)
    _starts_seen: int = 0

    def start(self) -> None:
        """Take a sample and check it, now and after each interval."""
        self._samples.append(self._sample())
        for name in INSTANCES:
            if self.world.is_running(name):
                self._check_instance_revision(name)
        self._check_leaving()
        self.world.world.simulation.schedule(SAMPLE_INTERVAL_S, self.start)

    def record(self, invariant: int, detail: str) -> None:
        """Record a violation, unless one with the same detail is recorded."""
        if detail not in self._reported:
            self._reported.add(detail)
            self.violations.append(Violation(invariant, detail))

    def _sample(self) -> _Sample:
        running_names = [
            name for name in INSTANCES if self.world.is_running(name)
        ]
        drivers = {name: self._get_driver(name) for name in running_names}
        return _Sample(
            {name: find_revision(one) for name, one in drivers.items()},
            {name: one.incarnation for name, one in drivers.items()},
            frozenset(
                frozenset((one, other))
                for one in running_names
                for other in (*running_names, PLATFORM_ENDPOINT)
                if one != other and self._is_connected(one, other)
            ),
            self._find_served_revision(),
        )

    def _get_driver(self, name: str) -> NodeDriver:
        return self.world.drivers[InstanceName(name)]

    def _is_connected(self, one: str, other: str) -> bool:
        network = self.world.world.network
        directions = ((one, other), (other, one))
        return not any(
            network.is_partitioned(*direction)
            or network.delays_s.get(direction, 0) > 0
            for direction in directions
        )

    def _find_served_revision(self) -> int | None:
        platform = self.world.world.platform
        if platform.down:
            return None
        count = len(platform.published)
        return platform.served % count + 1

    def _check_instance_revision(self, name: str) -> None:
        driver = self._get_driver(name)
        incarnation_key = (name, driver.incarnation)
        revision = find_revision(driver)
        highest = self._highest.get(incarnation_key, 0)
        if revision < highest:
            self.record(8, f'{name} reverted from {highest} to {revision}')
        self._highest[incarnation_key] = max(highest, revision)
        if driver.ready and incarnation_key not in self._ready:
            self._ready.add(incarnation_key)
            self._check_revision(
                name, revision, self._count_samples(incarnation_key)
            )
        if len(self._samples) > _PROPAGATION_SAMPLES:
            self._check_revision(name, revision, _PROPAGATION_SAMPLES + 1)

    def _count_samples(self, incarnation_key: tuple[str, int]) -> int:
        name, incarnation = incarnation_key
        return sum(
            one.incarnations.get(name) == incarnation for one in self._samples
        )

    def _check_revision(self, name: str, revision: int, count: int) -> None:
        """Check that a revision has propagated to an instance.

        It must be at least the highest revision that a peer held ``count``
        samples ago, if the two were connected ever since. After the full
        propagation limit it must also be at least the lowest that the
        platform served, if the instance could reach the platform.
        """
        window = list(self._samples)[-count:]
        incarnations_seen = {one.incarnations.get(name) for one in window}
        if not window or incarnations_seen != {
            self._get_driver(name).incarnation
        }:
            return
        expected_revision = 0
        for peer in window[0].revisions:
            pair = frozenset((name, peer))
            if all(pair in one.connected_pairs for one in window):
                expected_revision = max(
                    expected_revision, window[0].revisions[peer]
                )
        platform_pair = frozenset((name, PLATFORM_ENDPOINT))
        # Within the propagation limit, the instance may not have read it yet.
        if count > _PROPAGATION_SAMPLES and all(
            platform_pair in one.connected_pairs for one in window
        ):
            served = [one.served or 0 for one in window]
            expected_revision = max(expected_revision, min(served))
        if revision < expected_revision and count > 1:
            self.record(
                8,
                f'{name} has revision {revision}, expected '
                f'{expected_revision}, at {self.world.now_s:.1f} s',
            )

    def _check_leaving(self) -> None:
        world = self.world.world
        for target, noticed_s in world.leaving_noticed_s.items():
            for start in world.starts.get(target, ()):
                delay_s = start.at_s - noticed_s
                if delay_s > LEAVING_LIMIT_S and self._was_connected(
                    start.instance
                ):
                    self.record(
                        6,
                        f'{target} started {start.request} {delay_s:.1f} s '
                        f'after it was known to leave, sent by '
                        f'{start.instance}',
                    )

    def _was_connected(self, name: str) -> bool:
        """Return whether an instance was connected for ``LEAVING_LIMIT_S``.

        At each sample it had to reach a peer or the platform.
        """
        window = list(self._samples)[-_LEAVING_SAMPLES:]
        return all(
            any(name in pair for pair in one.connected_pairs) for one in window
        )


def find_revision(driver: NodeDriver) -> int:
    """Return the revision that an instance has accepted."""
    return driver.core.parts.document_replica.revision
