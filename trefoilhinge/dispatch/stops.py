"""Planned stops of an instance: what becomes of the calls that it has."""

import enum
from collections import Counter
from collections.abc import Iterable


class CallStage(enum.Enum):
    """How far a call has come."""

    waiting = 'waiting'  # no target can have run it
    sent = 'sent'  # it may have run, and its caller has no part of an answer
    begun = 'begun'  # its caller has the begin of the answer
    untaken = 'untaken'  # answered; its caller has not taken the whole answer


def count_stages(stages: Iterable[CallStage]) -> dict[str, int]:
    """Return the number of calls at each stage, by the name of the stage."""
    counts = Counter(stages)
    return {stage.value: counts[stage] for stage in CallStage}
