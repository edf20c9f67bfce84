"""What an instance believes now: document, targets, loads and peers."""

import asyncio
import secrets

from attrs import define, field

from trefoilhinge.dispatch.budgets import RepeatBudget
from trefoilhinge.dispatch.documents import FleetDocument
from trefoilhinge.dispatch.health import TargetHealth
from trefoilhinge.dispatch.loads import LoadView
from trefoilhinge.dispatch.paces import PaceTable
from trefoilhinge.dispatch.peers import PeerTable
from trefoilhinge.dispatch.settings import GatewaySettings
from trefoilhinge.dispatch.targets import TargetDirectory
from trefoilhinge.gateway.logs import EventLog
from trefoilhinge.gateway.metrics import MetricsRegistry
from trefoilhinge.gateway.prefill_waiters import PrefillWaiters
from trefoilhinge.platform.documents import decode_document

INCARNATION_BYTES = 3  # of the random part of a life's name


@define
class GatewayState:
    """Everything that decisions read, in one place.

    :ivar origin: name of this life of the instance.
    :ivar document_bytes: the document as it was read, to pass on.
    :ivar stops_s: monotonic seconds at which the process ends.
    :ivar settles_s: monotonic seconds from which a stopping instance takes
        only calls that are sure to end before it does.
    """

    settings: GatewaySettings
    log: EventLog
    metrics: MetricsRegistry
    origin: str
    peers: PeerTable
    document: FleetDocument | None = None
    document_bytes: bytes = b''
    directory: TargetDirectory = field(factory=TargetDirectory)
    loads: LoadView = field(factory=LoadView)
    prefill_waiters: PrefillWaiters = field(init=False)
    health: TargetHealth = field(factory=TargetHealth)
    paces: PaceTable = field(factory=PaceTable)
    is_stopping: bool = False
    exit_at_s: float = float('inf')
    admission_restricted_at_s: float = float('inf')
    _budgets: dict[str, RepeatBudget] = field(factory=dict)
    _last_run_number: int = 0

    def __attrs_post_init__(self) -> None:
        """Let prompts wait for what the loads tell."""
        self.prefill_waiters = PrefillWaiters(self.loads)

    @property
    def is_ready(self) -> bool:
        """Return whether calls can be served."""
        knows = self.document is not None and self.directory.revision > 0
        return knows and not self.is_stopping

    def can_finish_within(self, duration_s: float) -> bool:
        """Return whether a call that may last so long can be taken now."""
        now_s = self.get_now_s()
        return (
            now_s < self.admission_restricted_at_s
            or now_s + duration_s < self.exit_at_s
        )

    def get_now_s(self) -> float:
        """Return monotonic seconds."""
        return asyncio.get_running_loop().time()

    def find_retry_budget(self, service: str) -> RepeatBudget:
        """Return the budget of repeats to a service."""
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = RepeatBudget(
                bounds.repeat_ratio,
                bounds.repeat_slack,
                bounds.repeat_window_s,
            )
            self._budgets[service] = budget
        return budget

    def make_run_number(self) -> int:
        """Return a number that no run of this life has."""
        self._last_run_number += 1
        return self._last_run_number

    def accept_document(self, content: bytes, source: str) -> bool:
        """Take a document if it is valid and newer; return whether it was."""
        decoded = decode_document(content)
        if decoded.is_error():
            self.log.write(
                'document_refused', source=source, problem=decoded.error
            )
            return False
        document = decoded.ok
        known = self.document.version if self.document else 0
        if document.version <= known:
            return False
        self.document = document
        self.document_bytes = content
        self.log.write(
            'document_accepted',
            version=document.version,
            before=known,
            source=source,
        )
        return True


def make_state(settings: GatewaySettings) -> GatewayState:
    """Return what an instance believes at its start: nothing."""
    incarnation = secrets.token_hex(INCARNATION_BYTES)
    return GatewayState(
        settings=settings,
        log=EventLog(settings.instance),
        metrics=MetricsRegistry(),
        origin=f'{settings.ip}/{incarnation}',
        peers=PeerTable(settings.ip),
    )
