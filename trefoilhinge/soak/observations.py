"""Observations of callers and targets, checked against the invariants.

The module reads no clock: all times are passed in, in seconds of one clock.
"""

from attrs import define, field

from trefoilhinge.soak.cold_checks import ObservedCold, list_excesses
from trefoilhinge.soak.crowd_checks import ObservedCrowd
from trefoilhinge.soak.demands import (
    MAXIMUM_LATE_SHARE,
    ObservedSwitch,
    find_late_share,
)
from trefoilhinge.soak.evacuation_checks import (
    ObservedEvacuation,
    find_sends,
)
from trefoilhinge.soak.records import (
    CallKind,
    CrashingTrait,
    ObservedArrival,
    ObservedCall,
    ObservedLimit,
    ObservedRun,
    make_content,
)
from trefoilhinge.soak.retry_checks import ObservedRetries, list_gains
from trefoilhinge.soak.returns import ObservedReturn, find_unused
from trefoilhinge.soak.stop_checks import may_be_cut
from trefoilhinge.soak.violations import Violation

DEADLINE_TOLERANCE_S = 1.0  # for an answer to arrive after the deadline
RECOVERY_S = 4.0  # fault-free time after which time limits apply again
CHANGE_PROPAGATION_S = 2.5  # of a store change, including polling intervals
# From the end of a short silence of the store, until a change is in force.
SILENCE_RECOVERY_S = 3.5
RELEASE_TIMEOUT_S = 4.0  # for memory to be released after its last call
# A limit that a target names has to hold from this time on, in each window.
LIMIT_STABLE_S = 3.0
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5  # times the requests that the limit allows in a window
LIMIT_SLACK = 5  # requests on top of that
# Crashes after which requests with a part, or one request, are to be kept from
# targets, from a time on and but for a few.
PART_CRASHES = 5
REQUEST_CRASHES = 3
CRASH_STABLE_S = 3.0
CRASH_ALLOWED = 3
SUCCESS_STATUSES = range(200, 300)
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


@define
class ObservationLog:
    """All observations of one soak.

    :ivar faults: start and end of each fault; planned stops and changes do
        not count as faults.
    :ivar leaving_since_s: time at which the store acknowledged that a target
        is leaving, by target.
    :ivar expiries: target, and the begin and end of the time in which it had
        no entry, as it had expired.
    :ivar returns: returns of targets whose entries had expired.
    :ivar leaked_reservations: reservations that were held after their calls.
    :ivar late_starts: names of instances that were not ready in time after a
        start during an outage of the store.
    :ivar finished_s: time at which a target had sent the last of a stream, by
        the identifier of its call.
    :ivar users: identifiers of the calls that used each reservation.
    :ivar arrivals: requests that reached targets, orders included.
    :ivar limits: limits that targets named.
    :ivar colds: times in which targets were cold.
    :ivar instance_faults: start and end of each kill and pause of an instance.
    :ivar store_faults: start and end of each fault that kept all instances
        from the store.
    :ivar silences: start and end of each short silence of the store, which
        is no fault.
    :ivar pauses: start and end of each pause of an instance.
    :ivar evacuations: times in which failure domains were evacuated.
    :ivar switches: switches of the load that nothing else disturbed.
    :ivar retries: times in which some callers retried at once and calls
        competed for too few slots.
    :ivar new_reservations: first order to make each reservation, by its name.
    :ivar crashing_traits: what crashed targets, each for a time.
    :ivar spoiled: identifiers of calls of whose streams an event was spoiled.
    :ivar crowds: memory of instances after crowds of clients.
    """

    calls: list[ObservedCall] = field(factory=list)
    runs: list[ObservedRun] = field(factory=list)
    faults: list[tuple[float, float]] = field(factory=list)
    leaving_since_s: dict[str, float] = field(factory=dict)
    expiries: list[tuple[str, float, float]] = field(factory=list)
    returns: list[ObservedReturn] = field(factory=list)
    leaked_reservations: list[str] = field(factory=list)
    late_starts: list[str] = field(factory=list)
    finished_s: dict[str, float] = field(factory=dict)
    users: dict[str, set[str]] = field(factory=dict)
    arrivals: list[ObservedArrival] = field(factory=list)
    limits: list[ObservedLimit] = field(factory=list)
    colds: list[ObservedCold] = field(factory=list)
    instance_faults: list[tuple[float, float]] = field(factory=list)
    store_faults: list[tuple[float, float]] = field(factory=list)
    silences: list[tuple[float, float]] = field(factory=list)
    pauses: list[tuple[float, float]] = field(factory=list)
    evacuations: list[ObservedEvacuation] = field(factory=list)
    switches: list[ObservedSwitch] = field(factory=list)
    retries: list[ObservedRetries] = field(factory=list)
    new_reservations: list[ObservedRun] = field(factory=list)
    crashing_traits: list[CrashingTrait] = field(factory=list)
    spoiled: set[str] = field(factory=set)
    crowds: list[ObservedCrowd] = field(factory=list)

    def find_violations(self) -> list[Violation]:
        """Return all violations of the invariants."""
        runs: dict[str, list[ObservedRun]] = {}
        for run in self.runs:
            runs.setdefault(run.request_id, []).append(run)
        violations = [
            violation
            for call in self.calls
            for violation in self._check_call(
                call, runs.get(call.request_id, [])
            )
        ]
        violations.extend(
            Violation('LEAVING', run.request_id, f'ran at {run.target}')
            for run in self.runs
            if self._ran_after_leaving(run)
        )
        violations.extend(
            Violation('MEMORY', reservation, 'was held after its call')
            for reservation in self.leaked_reservations
        )
        violations.extend(
            Violation(
                'CROWD',
                crowd.instance,
                f'{crowd.peak_mb:.0f} of {crowd.limit_mb} MB'
                f' after {crowd.kind.value}',
            )
            for crowd in self.crowds
            if crowd.is_over
        )
        violations.extend(
            Violation('START', name, 'was not ready in time')
            for name in self.late_starts
        )
        violations.extend(
            Violation('SHARED', reservation, f'used by {sorted(calls)}')
            for reservation, calls in self.users.items()
            if len(calls) > 1
        )
        violations.extend(
            Violation('LIMIT', f'port {limit.port}', detail)
            for limit in self.limits
            for detail in self._list_excesses(limit)
        )
        violations.extend(
            Violation('COLD', f'port {cold.port}', detail)
            for cold in self.colds
            for detail in list_excesses(cold, self.arrivals)
        )
        violations.extend(
            Violation('EVACUATED', run.request_id, f'sent to {run.target}')
            for evacuation in self.evacuations
            for run in find_sends(
                evacuation,
                (*self.runs, *self.new_reservations),
                self.store_faults,
                self.pauses,
            )
        )
        violations.extend(
            Violation('SWITCH', 'short prompts', f'{share:.0%} were late')
            for switch in self.switches
            if (share := find_late_share(switch, self.calls))
            > MAXIMUM_LATE_SHARE
        )
        violations.extend(
            Violation('GAIN', 'callers that retry', detail)
            for retries in self.retries
            for detail in list_gains(retries, self.calls)
        )
        violations.extend(
            Violation('CRASH', trait.name, f'{count} requests came late')
            for trait in self.crashing_traits
            if (count := self._count_late(trait)) > CRASH_ALLOWED
        )
        violations.extend(
            Violation('UNUSED', returned.target, f'by {instance}')
            for returned in self.returns
            for instance in find_unused(returned, self.runs, self.calls)
        )
        return violations

    def _count_late(self, trait: CrashingTrait) -> int:
        """Return the requests that had to be kept from targets."""
        crashes_s = sorted(trait.crashes_s)
        if len(crashes_s) < trait.free_crashes:
            return 0
        begin_s = crashes_s[trait.free_crashes - 1] + CRASH_STABLE_S
        return sum(
            at_s > begin_s and self._are_instances_sound(at_s, at_s)
            for at_s in trait.arrivals_s
        )

    def _list_excesses(self, limit: ObservedLimit) -> list[str]:
        """Return the first window in which a target got too many requests."""
        allowed = (
            LIMIT_FACTOR * limit.requests_per_s * LIMIT_WINDOW_S + LIMIT_SLACK
        )
        checked_s = sorted(
            arrival.at_s
            for arrival in self.arrivals
            if arrival.port == limit.port
            and limit.begin_s + LIMIT_STABLE_S <= arrival.at_s <= limit.end_s
        )
        for position, begin_s in enumerate(checked_s):
            end_s = begin_s + LIMIT_WINDOW_S
            count = sum(at_s < end_s for at_s in checked_s[position:])
            if count > allowed and self._are_instances_sound(begin_s, end_s):
                return [
                    f'{count} requests in {LIMIT_WINDOW_S} s, limit '
                    f'{limit.requests_per_s} a second, allowed {allowed:.1f}'
                ]
        return []

    def _are_instances_sound(self, begin_s: float, end_s: float) -> bool:
        return all(
            end_s < fault_begin_s or begin_s - LIMIT_STABLE_S > fault_end_s
            for fault_begin_s, fault_end_s in self.instance_faults
        )

    def _check_call(
        self, call: ObservedCall, runs: list[ObservedRun]
    ) -> list[Violation]:
        checks = (
            ('TWICE', call.kind is CallKind.non_idempotent and len(runs) > 1),
            ('FALSE_REFUSAL', call.status in NOT_RUN_STATUSES and bool(runs)),
            ('WRONG_ANSWER', self._has_wrong_answer(call)),
            ('LATE', self._ended_late(call)),
            ('CUT_AT_STOP', self._was_cut_at_stop(call, has_run=bool(runs))),
            ('REVOKED', self._was_served_after_revocation(call, runs)),
        )
        detail = (
            f'{call.kind.value} at {call.instance}, sent {call.sent_s:.2f} s, '
            f'status {call.status}, complete {call.is_complete}, '
            f'runs {len(runs)}'
        )
        return [
            Violation(invariant, call.request_id, detail)
            for invariant, is_broken in checks
            if is_broken
        ]

    def _has_wrong_answer(self, call: ObservedCall) -> bool:
        if call.status not in SUCCESS_STATUSES:
            return False
        expected = make_content(call.kind, call.request_id, call.is_long)
        if call.is_complete:
            return call.content != expected
        return not expected.startswith(call.content)

    def _ended_late(self, call: ObservedCall) -> bool:
        latest_s = call.sent_s + call.deadline_s + DEADLINE_TOLERANCE_S
        if call.ended_s is None or call.ended_s <= latest_s:
            return False
        return self._is_fault_free(call.sent_s, call.ended_s)

    def _was_cut_at_stop(self, call: ObservedCall, *, has_run: bool) -> bool:
        if call.is_complete or not call.is_stopping or call.ended_s is None:
            return False
        if call.request_id in self.spoiled:
            return False
        if call.ended_s >= call.sent_s + call.deadline_s:
            return False
        finished_s = self.finished_s.get(call.request_id)
        if call.may_outlast_stop and may_be_cut(call, finished_s, has_run):
            return False
        return self._is_fault_free(call.sent_s, call.ended_s)

    def _was_served_after_revocation(
        self, call: ObservedCall, runs: list[ObservedRun]
    ) -> bool:
        revoked_s = call.key_revoked_s
        if (
            revoked_s is None
            or call.sent_s < revoked_s + CHANGE_PROPAGATION_S
            or not runs
        ):
            return False
        return self._is_in_force(revoked_s, call.sent_s)

    def _ran_after_leaving(self, run: ObservedRun) -> bool:
        absences = [
            (begin_s, end_s)
            for target, begin_s, end_s in self.expiries
            if target == run.target
        ]
        if run.target in self.leaving_since_s:
            absences.append((self.leaving_since_s[run.target], float('inf')))
        return any(
            begin_s + CHANGE_PROPAGATION_S <= run.at_s < end_s
            and self._is_in_force(begin_s, run.at_s)
            for begin_s, end_s in absences
        )

    def _is_in_force(self, changed_s: float, at_s: float) -> bool:
        """Return whether nothing excuses that a change is not in force."""
        return self._is_fault_free(changed_s, at_s) and all(
            at_s < silence_begin_s or silence_end_s + SILENCE_RECOVERY_S < at_s
            for silence_begin_s, silence_end_s in self.silences
        )

    def _is_fault_free(self, begin_s: float, end_s: float) -> bool:
        """Return whether no fault overlaps a period or ended shortly before."""
        return all(
            end_s < fault_begin_s or begin_s - RECOVERY_S > fault_end_s
            for fault_begin_s, fault_end_s in self.faults
        )
