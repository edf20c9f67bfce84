"""Decision on a call: place it, let it wait, or refuse it."""

import enum

from attrs import frozen

from trefoilhinge.dispatch.admission.waiting_calls import WaitingCall

# A call is refused ahead of its time only if even this part of the expected
# wait is too long: the rate at which runs end varies, and calls ahead of it
# may be given up.
CERTAIN_WAIT_SHARE = 0.5
# Wait that is stated while the rate at which runs end is not known.
UNKNOWN_WAIT_S = 0.7


class Verdict(enum.Enum):
    """What is done with a call that asks for capacity."""

    place = 'place'
    wait = 'wait'
    refuse = 'refuse'


@frozen
class Decision:
    """Decision on a call.

    :ivar wait_s: seconds until it is expected to be placed.
    :ivar reason: why it is refused, else empty.
    """

    verdict: Verdict
    wait_s: float
    reason: str = ''


def decide(
    call: WaitingCall,
    *,
    has_room: bool,
    position: int,
    release_per_s: float | None,
    now_s: float,
) -> Decision:
    """Decide on a call.

    :param has_room: whether capacity is left for it by those ahead of it.
    :param position: number of calls ahead of it.
    :param release_per_s: ended runs per second of its service; none if too
        few are known, in which case nothing is concluded from its position.
    """
    if now_s >= call.latest_s:
        wait_s = estimate_wait_s(position, release_per_s)
        return Decision(Verdict.refuse, wait_s, 'too_late')
    if has_room:
        return Decision(Verdict.place, 0)
    wait_s = estimate_wait_s(position, release_per_s)
    certain_s = CERTAIN_WAIT_SHARE * wait_s
    if release_per_s is not None and now_s + certain_s > call.latest_s:
        return Decision(Verdict.refuse, wait_s, 'too_many_ahead')
    return Decision(Verdict.wait, wait_s)


def estimate_wait_s(position: int, release_per_s: float | None) -> float:
    """Return the expected seconds until a call is placed.

    :param position: number of calls ahead of it.
    """
    if not release_per_s:
        return UNKNOWN_WAIT_S
    return (position + 1) / release_per_s
