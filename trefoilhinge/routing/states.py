"""Estimated queue and health of one target, as seen by this instance."""

import math

from attrs import define, field

from trefoilhinge.core.identifiers import AttemptId, InstanceName
from trefoilhinge.core.reports import LoadReport
from trefoilhinge.membership.interfaces import TargetView

CONSECUTIVE_FAILURES_TO_EJECT = 3
BASE_EJECTION_S = 5.0
MAXIMUM_EJECTION_S = 60.0
# A reinstated target is scored with a penalty that falls linearly to zero over
# this time.
SLOW_START_S = 10.0
SLOW_START_PENALTY_S = 2.0


@define
class OwnCharge:
    """Outstanding prefill work that this instance has sent.

    :ivar charged_s: monotonic seconds at which it was placed.
    :ivar tokens: prompt tokens to prefill.
    :ivar urgent: whether it takes precedence over other work at the engine.
    """

    charged_s: float
    tokens: int
    urgent: bool


@define
class PeerCharge:
    """Outstanding work of a peer, as it last reported it.

    :ivar reported_s: monotonic seconds at which the report was received.
    :ivar tokens: prompt tokens to prefill.
    :ivar calls: calls in progress.
    """

    reported_s: float
    tokens: int
    calls: int


@define
class PrefillRate:
    """Prefill rate of the targets of one service, shared between them.

    :ivar tokens_per_s: prompt tokens per second.
    """

    tokens_per_s: float


@define
class TargetState:
    """State of one target: its last load report, charges and failures.

    :ivar view: target as membership lists it.
    :ivar local: whether it is in the failure domain of this instance.
    :ivar rank: hash of the name, by which all instances order targets alike.
    :ivar preference: hash of this instance's name and the target's name.
    :ivar prefill_rate: prefill rate, shared with the service's other targets.
    :ivar queue_empty_at_s: monotonic seconds at which its prefill queue is
        expected to be empty.
    :ivar urgent_queue_empty_at_s: the same for the urgent part of that queue.
    :ivar running: attempts of this instance that have not ended.
    :ivar reserved: whether it gives precedence to short calls.
    :ivar measured_s: monotonic seconds at which its last report was measured.
    :ivar report: last load report, if any.
    :ivar free_tokens: free KV memory of its last report, in tokens.
    :ivar charges: outstanding prefill work of this instance.
    :ivar peers: outstanding work of each peer.
    :ivar failures: consecutive failed attempts.
    :ivar ejections: ejections since the last success.
    :ivar ejected_until_s: monotonic seconds at which its ejection ends.
    :ivar reinstated_s: monotonic seconds at which slow start begins.
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
        """Record a report; work placed after its measurement is added to it."""
        self.report = report
        self.free_tokens = report.free_tokens
        self.measured_s = now_s - report.age_s
        self.update_queue()

    def note_peer(self, peer: InstanceName, charge: PeerCharge) -> None:
        """Record the outstanding work of a peer."""
        self.peers[peer] = charge
        self.update_queue()

    def update_queue(self) -> None:
        """Recompute when the prefill queue will be empty."""
        report = self.report
        queued = 0 if report is None else report.queued_tokens
        # The report includes the charges placed before its measurement.
        included_tokens = 0
        later = []
        for charge in self.charges.values():
            if charge.charged_s <= self.measured_s:
                included_tokens += charge.tokens
            else:
                later.append(charge)
        peer_tokens = sum(
            peer_charge.tokens
            for peer_charge in self.peers.values()
            if peer_charge.reported_s > self.measured_s
        )
        # The report includes work of peers, so only the excess is added.
        excess = max(0, peer_tokens - max(0, queued - included_tokens))
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
        """Remove the prefill part of an attempt's charge."""
        charge = self.charges.pop(attempt, None)
        if charge is None:
            return
        if charge.urgent and not self._has_urgent():
            self.urgent_queue_empty_at_s = now_s
        if not self.charges and charge.charged_s > self.measured_s:
            self.queue_empty_at_s = min(self.queue_empty_at_s, now_s)

    @property
    def has_running_calls(self) -> bool:
        """Return whether calls run here, by own count or the last report."""
        return self.running > 0 or bool(self.report and self.report.running)

    def count_free_tokens(self, memory_tokens: int) -> int:
        """Estimate the free KV memory, in tokens.

        :param memory_tokens: KV memory of an idle engine.
        """
        free = min(memory_tokens, self.free_tokens)
        later = sum(
            charge.tokens
            for charge in self.charges.values()
            if charge.charged_s > self.measured_s
        )
        return int(max(0, free - later))

    def count_calls(self) -> int:
        """Return the calls in progress of this instance and its peers."""
        return self.running + sum(
            charge.calls for charge in self.peers.values()
        )

    def estimate_queue_wait_s(self, now_s: float) -> float:
        """Estimate the seconds until all queued prompts are prefilled."""
        return max(0, self.queue_empty_at_s - now_s)

    def compute_slow_start_penalty_s(self, now_s: float) -> float:
        """Return the slow-start penalty of a reinstated target, in seconds."""
        remaining = 1 - (now_s - self.reinstated_s) / SLOW_START_S
        if not self.ejections or remaining <= 0:
            return 0
        return SLOW_START_PENALTY_S * remaining

    def note_failure(self) -> bool:
        """Count a failed attempt; return whether to eject the target."""
        self.failures += 1
        return self.failures >= CONSECUTIVE_FAILURES_TO_EJECT

    def note_success(self) -> None:
        """Reset the counts of failures and ejections."""
        self.failures = 0
        self.ejections = 0

    def eject(self, now_s: float) -> None:
        """Eject the target, for twice as long with each consecutive ejection.

        A single failure after its reinstatement ejects it again.
        """
        duration_s = min(
            MAXIMUM_EJECTION_S, BASE_EJECTION_S * 2**self.ejections
        )
        self.ejections += 1
        self.failures = CONSECUTIVE_FAILURES_TO_EJECT - 1
        self.ejected_until_s = now_s + duration_s
        self.reinstated_s = self.ejected_until_s

    def _has_urgent(self) -> bool:
        return any(charge.urgent for charge in self.charges.values())
