"""Shared state of a simulation."""

from collections.abc import Callable
from typing import Protocol

from attrs import define, field

from trefoilhinge.core.identifiers import InstanceName, RequestId, TargetName
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.core.progress import AnswerProgress
from trefoilhinge.core.verdicts import Refusal
from trefoilhinge.node.core import NodeCore
from trefoilhinge.standins.simulation.engine import FakeEngine
from trefoilhinge.standins.simulation.fault_points import (
    FaultPoint,
    FaultSite,
    Probe,
)
from trefoilhinge.standins.simulation.kv_chains import KvChains
from trefoilhinge.standins.simulation.network import Network
from trefoilhinge.standins.simulation.scheduler import Simulation
from trefoilhinge.standins.simulation.services import (
    FakePlainService,
    FakePlatform,
    RequestStart,
)

PLATFORM_ENDPOINT = 'platform'


class SimulatedInstance(Protocol):
    """A simulated instance as seen by its peers."""

    name: InstanceName
    incarnation: int
    core: NodeCore
    ready: bool

    def answer_peer(self, text: str) -> str | None:
        """Return the reply to a peer's message; none without a reply."""
        ...

    def receive_call(self, profile: CallProfile) -> 'CallRecord':
        """Accept a caller's request."""
        ...


@define
class CallRecord:
    """One call as its caller sees it.

    All times are in simulated seconds.

    :ivar chunks: data that the caller received, in order.
    :ivar sent_s: time at which the caller sent it.
    :ivar first_s: time of the first event; none before.
    :ivar ended_s: time of the end of the response; none before.
    :ivar disconnected: whether the caller closed the connection.
    :ivar disconnected_s: time at which the caller did.
    :ivar broken: whether its instance died before the response was complete.
    :ivar owner_refusal: refusal by the owner that the call was forwarded to.
    :ivar on_end: called once when the call has ended.
    """

    profile: CallProfile
    instance: InstanceName
    progress: AnswerProgress = field(factory=AnswerProgress)
    chunks: list[str] = field(factory=list)
    sent_s: float = 0
    first_s: float | None = None
    ended_s: float | None = None
    refusal: Refusal | None = None
    finished: bool = False
    last_event_s: float = 0
    disconnected: bool = False
    disconnected_s: float = 0
    broken: bool = False
    owner_refusal: Refusal | None = None
    on_end: Callable[['CallRecord'], None] | None = None

    def end(self, now_s: float) -> None:
        """Record the end of the call."""
        self.ended_s = now_s
        if self.on_end is not None:
            self.on_end(self)


@define
class World:
    """Shared state of the simulated instances.

    :ivar calls: calls by request.
    :ivar load_lag_s: delay of load reports, in seconds.
    :ivar cache_lag_s: delay of cache events, in seconds.
    :ivar cache_gap: cache events whose sequence number is divisible by this
        are lost; zero loses none.
    :ivar probe: observer of fault points; none if no faults are injected.
    :ivar starts: requests started on each target; recorded only with a probe.
    :ivar leaving_noticed_s: time at which the first instance learned that a
        target is leaving.
    """

    simulation: Simulation
    network: Network
    engines: dict[TargetName, FakeEngine] = field(factory=dict)
    plains: dict[TargetName, FakePlainService] = field(factory=dict)
    platform: FakePlatform = field(factory=FakePlatform)
    drivers: dict[InstanceName, SimulatedInstance] = field(factory=dict)
    calls: dict[RequestId, CallRecord] = field(factory=dict)
    publication_lag_s: float = 1.0
    load_lag_s: float = 0.2
    cache_lag_s: float = 0
    cache_gap: int = 0
    probe: Probe | None = None
    starts: dict[TargetName, list[RequestStart]] = field(factory=dict)
    chains: KvChains = field(factory=KvChains)
    leaving_noticed_s: dict[TargetName, float] = field(factory=dict)

    def reach(
        self,
        point: FaultPoint,
        subject: object,
        instance: str,
        target: str = '',
    ) -> bool:
        """Report a fault point; true drops the message being processed."""
        if self.probe is None:
            return False
        return self.probe.reach(
            FaultSite(point, str(subject), instance, target)
        )

    def record_start(
        self, target: TargetName, request: str, sender: str
    ) -> None:
        """Record that a target started a request."""
        if self.probe is not None:
            start = RequestStart(self.simulation.now_s, request, sender)
            self.starts.setdefault(target, []).append(start)

    def record_leaving(self, target: TargetName) -> None:
        """Record that an instance learned that a target is leaving.

        Stale reports about an earlier incarnation of an engine are ignored.
        """
        engine = self.engines.get(target)
        if engine is not None and not engine.leaving:
            return
        self.leaving_noticed_s.setdefault(target, self.simulation.now_s)
