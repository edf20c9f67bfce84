"""A call that waits for capacity."""

from attrs import frozen

WaitingKey = tuple[str, int]


@frozen
class WaitingCall:
    """A call that waits for capacity.

    :ivar origin: incarnation of the instance that holds it.
    :ivar number: number that its run will have.
    :ivar organisation: hash of its organisation.
    :ivar memory_tokens: KV memory that it needs, which one in ten calls
        exceeds; zero for a plain call.
    :ivar weight: its work, as it counts for its organisation's share.
    :ivar stamp: logical time at which it began to wait: one more than the
        latest that its instance had heard of. Monotonic times of instances
        differ by the time that messages take, which would put each one's own
        calls first.
    :ivar since_s: monotonic seconds since which it waits.
    :ivar on_time_s: monotonic seconds until which it must be placed to meet
        its objective.
    :ivar latest_s: monotonic seconds until which it can be served at all.
    """

    origin: str
    number: int
    service: str
    priority: int
    organisation: int
    memory_tokens: int
    weight: float
    stamp: int
    since_s: float
    on_time_s: float
    latest_s: float

    @property
    def key(self) -> WaitingKey:
        """Return the key that its run will have."""
        return self.origin, self.number


def find_age(call: WaitingCall) -> tuple[int, str, int]:
    """Return what orders calls by age, the same at all instances."""
    return call.stamp, call.origin, call.number
