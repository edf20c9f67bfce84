"""How long a read of the platform's store may wait and go unanswered."""

from attrs import frozen

from trefoilhinge.dispatch.outages import (
    EXPIRY_CHECK_S,
    EXPIRY_INTERVALS,
    REREGISTRATION_GRACE_S,
)

MAXIMUM_WAIT_S = 2.0
MINIMUM_WAIT_S = 0.1
# An answer that is later than this is overdue; a slow store takes some hundred
# milliseconds.
OVERDUE_S = 0.4
# For the answer to the read that follows an overdue one.
ANSWER_S = 0.2
# For a new document to be decoded and in force.
APPLY_S = 0.3
MAXIMUM_RETRY_S = 0.5
MINIMUM_RETRY_S = 0.1


@frozen
class StoreTiming:
    """Derives the waits of reads from the bounds of the operator.

    A watch waits in silence, so that a connection on which the store lost the
    answer looks like a store without changes until the watch is overdue. Two
    moments depend on it: when a change is in force after a short outage, and
    whether the silence is so long that entries may have expired in it, which
    keeps a removed target in use for the grace period.

    :ivar stable_s: seconds after an outage from which changes must be in force
        within their bounds; zero if unknown.
    :ivar registration_interval_s: seconds between two registrations of a
        target; zero if unknown.
    """

    stable_s: float = 0
    registration_interval_s: float = 0

    @property
    def retry_s(self) -> float:
        """Return seconds between two reads while the store does not answer.

        An entry that is missing is used until the grace period after the first
        answer ends, which must be within ``stable_s`` of the store's return.
        """
        if not self.stable_s:
            return MAXIMUM_RETRY_S
        left_s = self._after_grace_s - ANSWER_S
        return min(MAXIMUM_RETRY_S, max(MINIMUM_RETRY_S, left_s))

    @property
    def longest_wait_s(self) -> float:
        """Return for how long any watch may wait for changes."""
        if not self.stable_s:
            return MAXIMUM_WAIT_S
        noticed_s = self.stable_s - APPLY_S - OVERDUE_S - ANSWER_S
        return max(MINIMUM_WAIT_S, min(MAXIMUM_WAIT_S, noticed_s))

    def find_watch_wait_s(self, unanswered_s: float) -> float:
        """Return for how long a watch may wait that tells a silence early.

        :param unanswered_s: seconds since the latest answer of the store.
        """
        if not self.registration_interval_s:
            return self.longest_wait_s
        # Either a watch whose answer is lost does not make the silence as long
        # as an outage in which entries expire, or the grace period that it
        # begins is over in time.
        expiry_s = EXPIRY_INTERVALS * self.registration_interval_s
        limit_s = max(expiry_s - unanswered_s, self._after_grace_s)
        wait_s = limit_s - OVERDUE_S - ANSWER_S
        return max(MINIMUM_WAIT_S, min(wait_s, self.longest_wait_s))

    @property
    def _after_grace_s(self) -> float:
        return self.stable_s - REREGISTRATION_GRACE_S - EXPIRY_CHECK_S
