"""What an instance believes of one target's queue and health."""

import math

from attrs import define, field

from trefoilhinge.core.identifiers import AttemptId, InstanceName
from trefoilhinge.core.reports import LoadReport
from trefoilhinge.membership.interfaces import TargetView

CONSECUTIVE_FAILURES_TO_EJECT = 3
BASE_EJECTION_S = 5.0
MAXIMUM_EJECTION_S = 60.0
SLOW_START_S = 10.0
SLOW_START_PENALTY_S = 2.0


@define
class OwnCharge:
    """Prefill work that this instance sent and that is not yet done.

    :ivar charged_s: monotonic seconds at which it was placed.
    :ivar urgent: whether it was sent ahead of other work.
    """

    charged_s: float
    tokens: int
    urgent: bool


@define
class PeerCharge:
    """What a peer last said that it has outstanding here."""

    reported_s: float
    tokens: int
    calls: int


@define
class PrefillRate:
    """How fast the targets of one service prefill; shared by them.

    :ivar tokens_per_s: prompt tokens per second.
    """

    tokens_per_s: float


@define
class TargetState:
    """One target: its last report, charges and failures.

    :ivar free_at_s: when its prefill queue is taken to be empty.
    :ivar urgent_at_s: when the urgent part of that queue is.
    :ivar reserved: whether it takes short calls first.
    :ivar free_tokens: memory that its last report called free.
    :ivar running: attempts of this instance that have not ended.
    """

    view: TargetView
    local: bool
    rank: int
    preference: int
    prefill_rate: PrefillRate
    queue_empty_at_s: float = 0
    urgent_queue_empty_at_s: float = 0
    running: int = 0
    reserved: bool = False
    measured_s: float = 0
    report: LoadReport | None = None
    free_tokens: float = math.inf
    charges: dict[AttemptId, OwnCharge] = field(factory=dict)
    peers: dict[InstanceName, PeerCharge] = field(factory=dict)
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0
    reinstated_s: float = 0

    def note_report(self, report: LoadReport, now_s: float) -> None:
        """Take a report and add only what it cannot contain yet."""
        self.report = report
        self.free_tokens = report.free_tokens
        self.measured_s = now_s - report.age_s
        self.update_queue()

    def note_peer(self, peer: InstanceName, charge: PeerCharge) -> None:
        """Take what a peer has outstanding here."""
        self.peers[peer] = charge
        self.update_queue()

    def update_queue(self) -> None:
        """Work out again when the queue is empty."""
        report = self.report
        queued = 0 if report is None else report.queued_tokens
        before = 0
        later = []
        for charge in self.charges.values():
            if charge.charged_s <= self.measured_s:
                before += charge.tokens
            else:
                later.append(charge)
        told = sum(
            one.tokens
            for one in self.peers.values()
            if one.reported_s > self.measured_s
        )
        # A report holds the work of peers too: only the excess is added.
        excess = max(0, told - max(0, queued - before))
        self.queue_empty_at_s = (
            self.measured_s + (queued + excess) / self.prefill_rate.tokens_per_s
        )
        for charge in later:
            begins_s = max(self.queue_empty_at_s, charge.charged_s)
            self.queue_empty_at_s = (
                begins_s + charge.tokens / self.prefill_rate.tokens_per_s
            )

    def add_charge(self, attempt: AttemptId, charge: OwnCharge) -> None:
        """Charge an attempt that is about to be sent."""
        self.running += 1
        self.charges[attempt] = charge
        begins_s = max(self.queue_empty_at_s, charge.charged_s)
        self.queue_empty_at_s = (
            begins_s + charge.tokens / self.prefill_rate.tokens_per_s
        )
        if charge.urgent:
            begins_s = max(self.urgent_queue_empty_at_s, charge.charged_s)
            self.urgent_queue_empty_at_s = (
                begins_s + charge.tokens / self.prefill_rate.tokens_per_s
            )

    def finish_prefill(self, attempt: AttemptId, now_s: float) -> None:
        """Drop the prefill part of an attempt's charge."""
        charge = self.charges.pop(attempt, None)
        if charge is None:
            return
        if charge.urgent and not self._has_urgent():
            self.urgent_queue_empty_at_s = now_s
        if not self.charges and charge.charged_s > self.measured_s:
            self.queue_empty_at_s = min(self.queue_empty_at_s, now_s)

    @property
    def has_running_calls(self) -> bool:
        """Return whether it generates for any call."""
        return self.running > 0 or bool(self.report and self.report.running)

    def count_free_tokens(self, memory_tokens: int) -> int:
        """Return the memory believed free, in tokens.

        :param memory_tokens: memory of an engine without any load.
        """
        free = min(memory_tokens, self.free_tokens)
        later = sum(
            one.tokens
            for one in self.charges.values()
            if one.charged_s > self.measured_s
        )
        return int(max(0, free - later))

    def count_calls(self) -> int:
        """Return the calls that this instance and its peers have here."""
        return self.running + sum(one.calls for one in self.peers.values())

    def estimate_wait_s(self, now_s: float) -> float:
        """Return seconds until all queued prompts are prefilled."""
        return max(0, self.queue_empty_at_s - now_s)

    def compute_slow_start_penalty_s(self, now_s: float) -> float:
        """Return the seconds that a target which has returned counts extra."""
        left = 1 - (now_s - self.reinstated_s) / SLOW_START_S
        if not self.ejections or left <= 0:
            return 0
        return SLOW_START_PENALTY_S * left

    def note_failure(self) -> bool:
        """Count a failed attempt; return whether to eject the target."""
        self.failures += 1
        return self.failures >= CONSECUTIVE_FAILURES_TO_EJECT

    def note_success(self) -> None:
        """Forget failures: the target answered."""
        self.failures = 0
        self.ejections = 0

    def eject(self, now_s: float) -> None:
        """Give the target no work for a time that doubles."""
        span_s = min(MAXIMUM_EJECTION_S, BASE_EJECTION_S * 2**self.ejections)
        self.ejections += 1
        self.failures = CONSECUTIVE_FAILURES_TO_EJECT - 1
        self.ejected_until_s = now_s + span_s
        self.reinstated_s = self.ejected_until_s

    def _has_urgent(self) -> bool:
        return any(one.urgent for one in self.charges.values())
