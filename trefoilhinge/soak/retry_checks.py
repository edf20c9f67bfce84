"""What callers gain that retry at once after refusals."""

from collections import Counter
from collections.abc import Iterable

from attrs import frozen

from trefoilhinge.soak.records import ObservedCall

# Calls of a key over those of another one that are served by chance.
MAXIMUM_GAIN = 1.25
MINIMUM_REFUSALS = 20  # fewer show nothing
SERVED_STATUS = 200


@frozen
class ObservedRetries:
    """Time in which some callers retried at once, as calls were refused.

    :ivar keys: API keys of these callers; each key has as many callers.
    :ivar others: API keys of the others.
    """

    keys: frozenset[str]
    others: frozenset[str]
    begin_s: float
    end_s: float


def list_gains(
    retries: ObservedRetries, calls: Iterable[ObservedCall]
) -> list[str]:
    """Return how much more often than others callers were served, if so."""
    served: Counter[str] = Counter()
    refusals = 0
    for call in calls:
        if not retries.begin_s <= call.sent_s < retries.end_s:
            continue
        if call.is_complete and call.status == SERVED_STATUS:
            served[call.key] += 1
        elif call.key in retries.keys:
            refusals += 1
    own = sum(served[key] for key in retries.keys) / len(retries.keys)
    other = sum(served[key] for key in retries.others) / len(retries.others)
    if refusals < MINIMUM_REFUSALS or own <= MAXIMUM_GAIN * other:
        return []
    return [f'{own:.1f} calls of a key were served, of others {other:.1f}']
