"""Everything that simulated instances share."""

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
    WorkStart,
)

PLATFORM_ENDPOINT = 'platform'


class SimulatedInstance(Protocol):
    """A simulated instance, as its peers meet it."""

    name: InstanceName
    incarnation: int
    core: NodeCore
    ready: bool

    def answer_peer(self, text: str) -> str | None:
        """Answer a peer's message."""
        ...

    def receive_call(self, profile: CallProfile) -> 'CallRecord':
        """Take a request."""
        ...


@define
class CallRecord:
    """One call as its caller sees it.

    :ivar sent_s: time at which the caller sent it.
    :ivar first_s: time of the first event, none before.
    :ivar ended_s: time of the final answer, none before.
    :ivar pieces: data that the caller got, in order.
    :ivar broken: whether its instance died before it had answered.
    :ivar gone: whether the caller closed the connection.
    :ivar gone_s: time at which it did.
    :ivar relayed_refusal: refusal of the owner that the call was passed on to.
    :ivar note_end: called once when the call has ended.
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
        """Record that the call ended now."""
        self.ended_s = now_s
        if self.on_end is not None:
            self.on_end(self)


@define
class World:
    """Everything that simulated instances share.

    :ivar calls: every call, by request.
    :ivar cache_lag_s: seconds by which cache events are late.
    :ivar cache_gap: every event of a number divisible by this is lost; zero
        loses none.
    :ivar probe: learns of each step; none if nobody asks.
    :ivar starts: work that each target began, kept while there is a probe.
    :ivar notices: when the first instance heard that a target is leaving.
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
    starts: dict[TargetName, list[WorkStart]] = field(factory=dict)
    chains: KvChains = field(factory=KvChains)
    leaving_noticed_s: dict[TargetName, float] = field(factory=dict)

    def reach(
        self,
        point: FaultPoint,
        subject: object,
        instance: str,
        target: str = '',
    ) -> bool:
        """Tell the probe of a step; true loses the step's message."""
        if self.probe is None:
            return False
        return self.probe.reach(
            FaultSite(point, str(subject), instance, target)
        )

    def record_start(
        self, target: TargetName, request: str, sender: str
    ) -> None:
        """Record that a target began work."""
        if self.probe is not None:
            start = WorkStart(self.simulation.now_s, request, sender)
            self.starts.setdefault(target, []).append(start)

    def record_leaving(self, target: TargetName) -> None:
        """Record that an instance heard that a target is leaving.

        Late news of an earlier incarnation of an engine does not count.
        """
        engine = self.engines.get(target)
        if engine is not None and not engine.leaving:
            return
        self.leaving_noticed_s.setdefault(target, self.simulation.now_s)
