"""Messages between instances."""

from attrs import frozen

from trefoilhinge.dispatch.admission.codec import AdmissionMessage
from trefoilhinge.dispatch.crash_evidence import CrashReport
from trefoilhinge.dispatch.estimation.group_table import GroupSummary
from trefoilhinge.dispatch.evacuations import DomainMark
from trefoilhinge.dispatch.loads import Run
from trefoilhinge.dispatch.peers import Heartbeat
from trefoilhinge.dispatch.permits import PermitDecision, PermitRequest
from trefoilhinge.dispatch.rate_limits import NamedRate
from trefoilhinge.dispatch.store_read_codec import StoreRead
from trefoilhinge.dispatch.warmup.codec import TargetCold


@frozen
class RunStarted:
    """A run was placed.

    :ivar maximum_duration_s: seconds after which it has ended at the latest.
    """

    run: Run
    maximum_duration_s: float


@frozen
class RunSent:
    """A delayed run was sent."""

    origin: str
    number: int


@frozen
class RunFirstEvent:
    """The first event of a run was received."""

    origin: str
    number: int


@frozen
class RunEnded:
    """A run ended, with any outcome."""

    origin: str
    number: int


@frozen
class TargetLeaving:
    """A target is leaving or was removed."""

    name: str
    started_ms: int
    revision: int


@frozen
class TargetEjected:
    """A target is unreachable or refuses calls and is to be avoided.

    :ivar duration_s: seconds for which it is to be avoided.
    """

    name: str
    duration_s: float


@frozen
class TargetSlowdown:
    """The observed slowdown of a target changed.

    :ivar slowdown: factor by which it is slower than its published profile;
        1 if it has recovered.
    """

    name: str
    slowdown: float


@frozen
class ServicesUnreachable:
    """The services of which an instance reaches no target; none if empty."""

    origin: str
    services: tuple[str, ...]


@frozen
class TargetRateNamed:
    """A target named its limit, or that it has none.

    :ivar named: what it said, in monotonic seconds of this instance.
    :ivar now_s: monotonic seconds of this instance.
    """

    named: NamedRate
    now_s: float


@frozen
class TargetOrdered:
    """A request that belongs to no run was sent to a limited target."""

    name: str


@frozen
class InstanceLeft:
    """An instance ends after a planned stop."""

    origin: str


@frozen
class TargetCrashed:
    """A target crashed under a call.

    :ivar now_s: monotonic seconds of this instance.
    """

    report: CrashReport
    now_s: float


@frozen
class TraitQuarantined:
    """Calls with a trait are kept from all targets.

    :ivar crashes: targets that crashed under such calls.
    :ivar crashed_age_s: seconds since the latest crash.
    :ivar probes: probes that were granted.
    """

    trait: str
    crashes: int
    crashed_age_s: float
    probes: int


@frozen
class TraitsCleared:
    """A call with these traits was under way at a target.

    :ivar age_s: seconds since then.
    """

    traits: tuple[str, ...]
    age_s: float


@frozen
class CostsSummarised:
    """What an instance has learned of the costs of calls."""

    groups: tuple[GroupSummary, ...]


RunMessage = (
    Heartbeat
    | InstanceLeft
    | RunStarted
    | RunSent
    | RunFirstEvent
    | RunEnded
    | TargetLeaving
    | TargetEjected
    | TargetSlowdown
    | ServicesUnreachable
)
PermitMessage = TargetRateNamed | TargetOrdered | PermitRequest | PermitDecision
QuarantineMessage = TargetCrashed | TraitQuarantined | TraitsCleared
TargetMessage = DomainMark | TargetCold | CostsSummarised | StoreRead
Message = (
    RunMessage
    | PermitMessage
    | QuarantineMessage
    | TargetMessage
    | AdmissionMessage
)
