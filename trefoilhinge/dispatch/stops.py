"""Planned stops of an instance: which calls it takes, and when they end."""

import enum
from collections import Counter
from collections.abc import Iterable

from attrs import define

# Until then after the order, calls come of which the platform excuses that the
# exit cuts them off; half a second of these three are for calls in transit.
UNRESTRICTED_S = 2.5
# What is expected to end later is not sent: the rest of the grace, in which the
# platform excuses work that goes on, is left for calls that take longer.
WORK_FRACTION = 5 / 6
# Answers of calls that the exit ends are sent in this part of the grace.
EXIT_FRACTION = 1 / 12
MINIMUM_EXIT_S = 0.5


class CallStage(enum.Enum):
    """How far a call has come."""

    waiting = 'waiting'  # no target can have run it
    sent = 'sent'  # it may have run, and its caller has no part of an answer
    begun = 'begun'  # its caller has the begin of the answer
    untaken = 'untaken'  # answered; its caller has not taken the whole answer


@define
class CallPlan:
    """What is known of the times of one call that is to be sent.

    :ivar received_s: monotonic seconds at which it was received.
    :ivar deadline_s: monotonic seconds at which it is ended in any case.
    :ivar expected_s: expected seconds from its sending to its end.
    :ivar maximum_s: the same at most.
    :ivar earliest_send_s: monotonic seconds before which it is not sent.
    """

    received_s: float
    deadline_s: float
    expected_s: float
    maximum_s: float
    earliest_send_s: float = 0


@define
class StopSchedule:
    """The times of one planned stop.

    :ivar ordered_s: monotonic seconds of the order to stop.
    :ivar grace_s: seconds from the order until the process is killed.
    :ivar is_closing: whether no call is taken any more.
    """

    ordered_s: float
    grace_s: float
    is_closing: bool = False

    @property
    def exit_s(self) -> float:
        """Return monotonic seconds at which calls are ended for the exit."""
        margin_s = max(MINIMUM_EXIT_S, self.grace_s * EXIT_FRACTION)
        return self.ordered_s + self.grace_s - margin_s

    @property
    def kill_s(self) -> float:
        """Return monotonic seconds at which the process is killed."""
        return self.ordered_s + self.grace_s

    def can_finish(self, plan: CallPlan, now_s: float) -> bool:
        """Return whether a call may still be sent.

        A call that is taken later than ``UNRESTRICTED_S`` after the order is
        sent only if it ends before the exit for certain.
        """
        if self.is_closing:
            return False
        send_s = max(now_s, plan.earliest_send_s)
        if plan.deadline_s <= self.exit_s:
            return send_s < plan.deadline_s
        if plan.received_s >= self.ordered_s + UNRESTRICTED_S:
            duration_s = max(plan.expected_s, plan.maximum_s)
            return send_s + duration_s < self.exit_s
        work_end_s = min(
            self.exit_s, self.ordered_s + self.grace_s * WORK_FRACTION
        )
        return send_s + plan.expected_s < work_end_s


def count_stages(stages: Iterable[CallStage]) -> dict[str, int]:
    """Return the number of calls at each stage, by the name of the stage."""
    counts = Counter(stages)
    return {stage.value: counts[stage] for stage in CallStage}
