"""Rules of a planned stop."""

from collections.abc import Iterable

from attrs import define

from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.core.verdicts import Refusal, Verdict, refuse_stopping
from trefoilhinge.node.handover import HANDOVER_TIMEOUT_S
from trefoilhinge.node.refusals import refuse_key_while_stopping
from trefoilhinge.retries.interfaces import (
    ClaimForwarded,
    ClaimRefused,
    Ledger,
)


@define
class StopCounts:
    """Calls that a stop did not serve.

    :ivar refused: calls that arrived too late to be taken.
    :ivar ended_unsent: calls in progress at the exit that did not run.
    :ivar ended_sent: calls in progress at the exit that may have run.
    """

    refused: int = 0
    ended_unsent: int = 0
    ended_sent: int = 0

    def count_ended(self, verdicts: Iterable[Verdict]) -> None:
        """Count the calls in progress at the exit.

        :param verdicts: verdict of each call.
        """
        for verdict in verdicts:
            if verdict is Verdict.NOT_RUN:
                self.ended_unsent += 1
            else:
                self.ended_sent += 1


def takes_calls(
    stopping_since_s: float | None,
    stop_wait_s: float,
    stop_limit_s: float,
    now: Instant,
) -> bool:
    """Return whether new calls are taken.

    An instance that cannot reach a peer stays up for the whole handover, and
    is then the only one that its callers may reach. Later calls would delay
    the exit for as long as callers keep coming. A limited stop leaves that time
    to the calls in progress.

    :param stopping_since_s: monotonic seconds of the stop request, if any.
    :param stop_wait_s: seconds that the load balancer takes to notice.
    :param stop_limit_s: seconds after which the calls that are left are ended,
        0 for no limit.
    """
    if stopping_since_s is None:
        return True
    waited_s = now.monotonic_s - stopping_since_s
    if stop_limit_s:
        return waited_s < min(stop_wait_s, stop_limit_s)
    return waited_s < stop_wait_s + HANDOVER_TIMEOUT_S


def refuse_new_call(
    ledger: Ledger,
    profile: CallProfile,
    now: Instant,
) -> Refusal:
    """Return the refusal of a call that is not taken any more.

    A call whose key was used before gets the verdict of the ledger: the caller
    of a call that did not run may send it again under a new key.
    """
    claim = ledger.claim(profile, now)
    if isinstance(claim, ClaimRefused):
        return claim.refusal
    if isinstance(claim, ClaimForwarded):
        return refuse_key_while_stopping()
    ledger.settle(profile, Verdict.NOT_RUN, now)
    return refuse_stopping()
