"""Targets whose entries expire and are written again, and their use."""

from attrs import frozen

from trefoilhinge.soak.records import CallKind, ObservedCall, ObservedRun

RETURN_S = 3.0  # from the entry's writing until each instance uses the target
# Calls of one instance that no other target accepted; one suffices for use.
MINIMUM_CALLS = 4


@frozen
class ObservedReturn:
    """Time in which a target whose entry had expired is the only one.

    All other targets of its service refuse calls then.

    :ivar target: name in its entry.
    :ivar service: service of the target.
    :ivar begin_s: ``RETURN_S`` after the store acknowledged its entry.
    """

    target: str
    service: str
    begin_s: float
    end_s: float


def find_unused(
    returned: ObservedReturn,
    runs: list[ObservedRun],
    calls: list[ObservedCall],
) -> list[str]:
    """Return the instances that did not use a target again."""
    users = {run.request_id for run in runs if run.target == returned.target}
    counts: dict[str, int] = {}
    served = set()
    for call in calls:
        is_model_call = call.kind is CallKind.stream
        if (
            call.key_revoked_s is not None
            or is_model_call != (returned.service == 'model')
            or not returned.begin_s <= call.sent_s < returned.end_s
        ):
            continue
        counts[call.instance] = counts.get(call.instance, 0) + 1
        if call.request_id in users:
            served.add(call.instance)
    return sorted(
        instance
        for instance, count in counts.items()
        if count >= MINIMUM_CALLS and instance not in served
    )
