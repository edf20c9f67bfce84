"""State of an instance: document, targets, loads and peers."""

import asyncio
import secrets

from attrs import define, field

from trefoilhinge.dispatch.budgets import RetryBudget
from trefoilhinge.dispatch.crash_evidence import CrashEvidence
from trefoilhinge.dispatch.demand.rates import DemandTable
from trefoilhinge.dispatch.documents import FleetDocument
from trefoilhinge.dispatch.estimation.cost_table import CostTable
from trefoilhinge.dispatch.estimation.switch import uses_learned_costs
from trefoilhinge.dispatch.health import HealthTable
from trefoilhinge.dispatch.loads import LoadTable, Run
from trefoilhinge.dispatch.outages import StoreOutages
from trefoilhinge.dispatch.peers import PeerTable
from trefoilhinge.dispatch.permit_buckets import PermitTable
from trefoilhinge.dispatch.quarantine import QuarantineTable
from trefoilhinge.dispatch.rate_limits import NamedRate, RateLimitTable
from trefoilhinge.dispatch.reachability import ReachTable
from trefoilhinge.dispatch.relay_peers import RelayPeers
from trefoilhinge.dispatch.rests import RestTable
from trefoilhinge.dispatch.settings import GatewaySettings
from trefoilhinge.dispatch.slowdowns import SlowdownTable
from trefoilhinge.dispatch.stops import StopSchedule
from trefoilhinge.dispatch.targets import TargetDirectory, TargetRecord
from trefoilhinge.dispatch.warmup.cold_targets import ColdTable
from trefoilhinge.dispatch.warmup.instances import KnownInstances
from trefoilhinge.gateway.admission.record import AdmissionRecord
from trefoilhinge.gateway.held_memory import HeldMemory, make_held_memory
from trefoilhinge.gateway.logs import EventLog
from trefoilhinge.gateway.metrics import MetricsRegistry
from trefoilhinge.gateway.prefill_waiters import PrefillWaiters
from trefoilhinge.gateway.read_turns import ReadTurns
from trefoilhinge.gateway.startup import StartupGate
from trefoilhinge.platform.documents import decode_document

INCARNATION_BYTES = 3  # random part of the identifier of an incarnation
# An instance that starts and hears no new peer for this long knows the others.
# How long that takes depends on their number.
PEER_QUIET_S = 1.0


@define
class GatewayState:
    """The state that all decisions read.

    :ivar origin: identifier of this incarnation of the instance.
    :ivar peers: other instances.
    :ivar document: document in force, ``None`` before the first.
    :ivar document_bytes: the document as it was read, to serve to peers.
    :ivar directory: known targets.
    :ivar loads: load of each target, over all instances.
    :ivar prefill_waiters: calls that wait until they may be sent.
    :ivar health: failure rates and ejections of the targets.
    :ivar reach: services whose targets this instance reaches.
    :ivar rests: targets that asked this instance for rest.
    :ivar relay_peers: peers that may serve calls for this instance.
    :ivar slowdowns: observed slowdown of each target.
    :ivar costs: what calls cost, learned from those that ended.
    :ivar demand: short calls that all instances start.
    :ivar rate_limits: rates that targets named as their limits.
    :ivar permits: permits for requests to these targets.
    :ivar crash_evidence: traits of calls under which targets crashed.
    :ivar quarantine: traits of calls that are kept from all targets.
    :ivar cold: targets that take few requests after their start.
    :ivar instances: instances that may send requests to them.
    :ivar held_memory: what is held for callers, within the memory of the
        process.
    :ivar read_turns: turns in which long requests are parsed.
    :ivar admission: calls that wait for capacity, at all instances.
    :ivar last_run_number: highest number that was given to a run.
    :ivar started_s: monotonic seconds at which the process started to serve.
    :ivar startup: keeps calls until document and targets are known.
    :ivar transfers: documents and lists of targets that are being sent to
        peers.
    :ivar stop: times of the planned stop, ``None`` before it is ordered.
    """

    settings: GatewaySettings
    log: EventLog
    metrics: MetricsRegistry
    origin: str
    peers: PeerTable
    document: FleetDocument | None = None
    document_bytes: bytes = b''
    directory: TargetDirectory = field(factory=TargetDirectory)
    loads: LoadTable = field(factory=LoadTable)
    prefill_waiters: PrefillWaiters = field(init=False)
    health: HealthTable = field(factory=HealthTable)
    reach: ReachTable = field(factory=ReachTable)
    rests: RestTable = field(factory=RestTable)
    relay_peers: RelayPeers = field(factory=RelayPeers)
    slowdowns: SlowdownTable = field(factory=SlowdownTable)
    costs: CostTable = field(factory=CostTable)
    demand: DemandTable = field(factory=DemandTable)
    rate_limits: RateLimitTable = field(factory=RateLimitTable)
    permits: PermitTable = field(factory=PermitTable)
    crash_evidence: CrashEvidence = field(factory=CrashEvidence)
    quarantine: QuarantineTable = field(factory=QuarantineTable)
    cold: ColdTable = field(init=False)
    instances: KnownInstances = field(factory=KnownInstances)
    held_memory: HeldMemory = field(factory=HeldMemory)
    read_turns: ReadTurns = field(factory=ReadTurns)
    admission: AdmissionRecord = field(init=False)
    started_s: float = 0
    startup: StartupGate = field(factory=StartupGate)
    transfers: int = 0
    last_run_number: int = 0
    stop: StopSchedule | None = None
    _budgets: dict[str, RetryBudget] = field(factory=dict)
    _is_settled: bool = False

    def __attrs_post_init__(self) -> None:
        """Create the parts that depend on others."""
        self.prefill_waiters = PrefillWaiters(self.loads)
        self.cold = ColdTable(self.settings.ip)
        settings = self.settings
        self.admission = AdmissionRecord(
            settings.has_scarce_room and settings.allows_admission
        )

    @property
    def is_stopping(self) -> bool:
        """Return whether a planned stop was ordered."""
        return self.stop is not None

    @property
    def is_closing(self) -> bool:
        """Return whether no call is taken any more, for the exit."""
        return self.stop is not None and self.stop.is_closing

    @property
    def is_ready(self) -> bool:
        """Return whether the instance knows its fleet and is not stopping."""
        return self.startup.is_open and not self.is_stopping

    def check_settled(self) -> bool:
        """Return whether the runs of the other instances are known.

        An instance that starts does not hear them yet, unless it has no seeds
        and so is the only one. Once it has heard them it stays settled: later
        ones tell it of their runs when they start. Being wrong costs a worse
        placement; permits, which must not be granted twice, wait for longer
        (``SETTLING_HEARTBEATS``).
        """
        if not self._is_settled:
            quiet_since_s = max(self.started_s, self.peers.discovered_s)
            self._is_settled = (
                not self.settings.seeds
                or self.get_now_s() >= quiet_since_s + PEER_QUIET_S
            )
        return self._is_settled

    def get_now_s(self) -> float:
        """Return monotonic seconds."""
        return asyncio.get_running_loop().time()

    def find_retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = RetryBudget(
                bounds.repeat_ratio,
                bounds.repeat_slack,
                bounds.repeat_window_s,
            )
            self._budgets[service] = budget
        return budget

    def allows_retry(self, service: str) -> bool:
        """Return whether this instance's share allows another retry now.

        Instances that are silent are counted too: they may be alive behind a
        partition, with their own share of the budget.
        """
        return self.find_retry_budget(service).allows_retry(
            self.peers.count_known(), self.get_now_s()
        )

    def make_run_number(self) -> int:
        """Return a number that is unique among the runs of this incarnation."""
        self.last_run_number += 1
        return self.last_run_number

    def make_reservation_name(self) -> str:
        """Return a name that no other reservation of the fleet has.

        Callers' identifiers may be equal, or begin alike.
        """
        incarnation = self.origin.replace('/', '-')
        return f'{incarnation}-{self.make_run_number()}'

    def record_run(self, run: Run, latest_end_s: float) -> None:
        """Record a run that this instance or another one placed.

        A run that is not delayed is sent at once.

        :param latest_end_s: monotonic seconds at which it has ended.
        """
        now_s = self.get_now_s()
        is_new = self.loads.record_start(run, latest_end_s, now_s)
        if is_new and not self.cold.is_empty:
            self._record_cold_run(run, now_s)
        if (
            is_new
            and run.parts
            and uses_learned_costs(self.settings, self.document)
        ):
            self._record_demand(run, now_s)
        self.admission.record_start(run, now_s)
        if is_new and not run.send_delay_s:
            self._charge_run(run)

    def record_run_sent(self, key: tuple[str, int]) -> None:
        """Record that a delayed run was sent."""
        run = self.loads.record_sent(key, self.get_now_s())
        if run is not None:
            self._charge_run(run)

    def apply_target(self, record: TargetRecord) -> bool:
        """Apply a record of a target unless it is outdated.

        What was learnt of a target's failures and speed ends with its
        incarnation.

        :return: whether the target is newly departed.
        """
        known = self.directory.records.get(record.name)
        if known is not None and known.started_ms < record.started_ms:
            self.health.forget(record.name)
            self.slowdowns.forget(record.name)
        self.admission.record_target(record.service)
        return self.directory.apply_record(record)

    def record_targets_read(self, revision: int) -> None:
        """Record up to which change of the store the targets are known.

        :param revision: revision of the store.
        """
        self.directory.revision = revision
        self._open_startup_gate()

    def apply_named_rate(self, named: NamedRate, source: str) -> bool:
        """Apply what a target said about its limit.

        :param source: who said so, for the log.
        :return: whether the limit changed.
        """
        before = self.rate_limits.record(named)
        if before is None:
            return False
        rate = named.requests_per_s
        if rate is not None:
            self.permits.set_rate(
                named.target, named.started_ms, rate, self.get_now_s()
            )
        self.log.write(
            'target_limited' if rate else 'target_limit_ended',
            target=named.target,
            rate=rate,
            before=before.requests_per_s,
            source=source,
        )
        self.metrics.set_gauge(
            'targets_limited', len(self.rate_limits.list_limits())
        )
        return True

    def remove_departed_limits(self) -> None:
        """Remove the limits of targets that have departed."""
        for named in self.rate_limits.list_limits():
            if (named.target, named.started_ms) in self.directory.departed:
                self.rate_limits.remove(named.target)
                self.permits.remove(named.target)

    def accept_document(self, content: bytes, source: str) -> bool:
        """Put a document in force if it is valid and newer.

        :param source: where it was read, for the log.
        :return: whether it is in force now.
        """
        decoded = decode_document(content)
        if decoded.is_error():
            self.log.write(
                'document_refused', source=source, problem=decoded.error
            )
            return False
        document = decoded.ok
        known = self.document.version if self.document else 0
        if document.version <= known:
            self.log.write(
                'document_ignored',
                version=document.version,
                known=known,
                source=source,
            )
            return False
        self.document = document
        self.document_bytes = content
        self.log.write(
            'document_accepted',
            version=document.version,
            before=known,
            source=source,
            size=len(content),
        )
        self._open_startup_gate()
        return True

    def _open_startup_gate(self) -> None:
        if self.document is not None and self.directory.revision > 0:
            self.startup.open()

    def _record_cold_run(self, run: Run, now_s: float) -> None:
        records = self.directory.records
        for part in run.parts:
            record = records.get(part.target)
            if record is not None:
                self.cold.record_run(record.incarnation, now_s)

    def _record_demand(self, run: Run, now_s: float) -> None:
        record = self.directory.records.get(run.parts[0].target)
        if record is not None:
            self.demand.record_start(record.service, run, now_s)

    def _charge_run(self, run: Run) -> None:
        """Count the requests of a run at targets that named limits."""
        now_s = self.get_now_s()
        for part in run.parts:
            self.permits.charge(part.target, run.key, now_s)


def make_state(settings: GatewaySettings) -> GatewayState:
    """Return the empty state of an instance that starts."""
    incarnation = secrets.token_hex(INCARNATION_BYTES)
    log = EventLog(settings.instance)
    metrics = MetricsRegistry()
    return GatewayState(
        settings=settings,
        log=log,
        metrics=metrics,
        origin=f'{settings.ip}/{incarnation}',
        peers=PeerTable(settings.ip),
        directory=TargetDirectory(
            outages=StoreOutages(settings.registration_interval_s)
        ),
        held_memory=make_held_memory(settings, log, metrics),
    )
