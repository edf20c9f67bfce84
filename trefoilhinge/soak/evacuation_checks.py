"""What is sent to evacuated failure domains."""

from collections.abc import Iterable

from attrs import define

from trefoilhinge.soak.records import ObservedRun

# From the store's acknowledgement until nothing new is sent by any instance.
EVACUATE_S = 2.5
# After a fault that kept all instances from the store: a watch that was
# silenced is given up by then.
STORE_RECOVERY_S = 4.0
# After a pause: an instance may send what was ready before it reads the news.
PAUSE_RECOVERY_S = 0.5


@define
class ObservedEvacuation:
    """Time in which a failure domain was evacuated.

    :ivar begin_s: time at which the store acknowledged its item.
    :ivar end_s: time of the item's removal, infinite before.
    """

    failure_domain: str
    begin_s: float
    end_s: float = float('inf')


def find_sends(
    evacuation: ObservedEvacuation,
    runs: Iterable[ObservedRun],
    store_faults: Iterable[tuple[float, float]],
    pauses: Iterable[tuple[float, float]],
) -> list[ObservedRun]:
    """Return the runs in an evacuated failure domain that begin too late.

    :param runs: calls and reservations, as they reached targets.
    :param store_faults: start and end of each fault that kept all instances
        from the store.
    :param pauses: start and end of each pause of an instance.
    """
    bound_s = evacuation.begin_s + EVACUATE_S
    for begin_s, end_s in sorted(store_faults):
        recovered_s = end_s + STORE_RECOVERY_S
        if begin_s <= bound_s and recovered_s >= evacuation.begin_s:
            bound_s = max(bound_s, recovered_s)
    return [
        run
        for run in runs
        if run.failure_domain == evacuation.failure_domain
        and bound_s <= run.at_s < evacuation.end_s
        and not any(
            begin_s <= run.at_s <= end_s + PAUSE_RECOVERY_S
            for begin_s, end_s in pauses
        )
    ]
