"""How long a read of the platform's store may wait and go unanswered."""

from attrs import frozen

MAXIMUM_WAIT_S = 2.0
MINIMUM_WAIT_S = 0.1
# An answer that is later than this is overdue; a slow store takes some hundred
# milliseconds.
OVERDUE_S = 0.4
# For the answer to the read that follows an overdue one.
ANSWER_S = 0.2
# For a new document to be decoded and in force.
APPLY_S = 0.3
RETRY_S = 0.5


@frozen
class StoreTiming:
    """Derives the waits of reads from the bounds of the operator.

    A watch waits in silence, so that a connection on which the store lost the
    answer looks like a store without changes until the watch is overdue.

    :ivar stable_s: seconds after an outage from which changes must be in force
        within their bounds; zero if unknown.
    """

    stable_s: float = 0

    @property
    def longest_wait_s(self) -> float:
        """Return for how long any watch may wait for changes."""
        if not self.stable_s:
            return MAXIMUM_WAIT_S
        noticed_s = self.stable_s - APPLY_S - OVERDUE_S - ANSWER_S
        return max(MINIMUM_WAIT_S, min(MAXIMUM_WAIT_S, noticed_s))
