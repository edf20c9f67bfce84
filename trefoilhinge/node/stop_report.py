"""Report on what a planned stop left undone, for the log."""

from trefoilhinge.core.clocks import Instant
from trefoilhinge.node.core import NodeCore


def describe_stop(core: NodeCore, now: Instant) -> dict[str, str]:
    """Return the log fields of a node that has ended its calls.

    :param core: node to describe; it is not modified.
    :param now: current monotonic and wall time.
    """
    counts = core.stop_counts
    since_s = core.stopping_since_s
    took_s = 0 if since_s is None else now.monotonic_s - since_s
    return {
        'took_s': f'{took_s:.3f}',
        'refused': str(counts.refused),
        'ended_unsent': str(counts.ended_unsent),
        'ended_sent': str(counts.ended_sent),
        'unreleased': str(len(core.parts.groups.list_unreleased())),
        'unadopted': str(core.exchanger.handover.count_unadopted()),
    }
