"""Bytes that an instance holds for its callers, and who is shed beyond bounds.

A caller may send much and read nothing. What it sent is held until its call
ends, as another attempt may need it, and what it has not read is held as well.
"""

from collections import Counter

from attrs import define, field, frozen

# Held bytes may exist twice for a moment: on the way into a buffer, or while
# parts are joined. Buffers of each connection come on top. A process that holds
# nothing takes about 40 MB.
INSTANCE_SHARE = 0.2  # of the memory of the process
ORGANISATION_SHARE = 0.5  # of what the instance may hold
# Of what the instance may hold: the largest answer and its request fit.
CONNECTION_SHARE = 1 / 3


@frozen
class HeldLimits:
    """Bounds on held bytes; zero means that there is none."""

    instance_bytes: int = 0
    organisation_bytes: int = 0
    connection_bytes: int = 0


@define(eq=False)
class Holder:
    """A caller's connection.

    :ivar organisation: name of its organisation, empty while it is unknown.
    :ivar held_bytes: bytes that are held for it.
    :ivar is_arriving: whether its request is not complete.
    :ivar began_s: monotonic seconds at which its request began to arrive.
    :ivar is_shed: whether it was chosen to release them; it no longer counts.
    """

    organisation: str = ''
    held_bytes: int = 0
    is_arriving: bool = False
    began_s: float = 0
    is_shed: bool = False


@define
class HeldBytes:
    """Counts held bytes and chooses who is shed.

    :ivar total_bytes: bytes of all connections that are not being shed.
    """

    limits: HeldLimits
    total_bytes: int = 0
    _by_organisation: Counter[str] = field(factory=Counter)
    _holders: set[Holder] = field(factory=set)

    def add(self, holder: Holder, count: int, now_s: float = 0) -> list[Holder]:
        """Add to the bytes that are held for a connection.

        :param count: bytes; negative if they were released.
        :param now_s: monotonic seconds.
        :return: connections that are to be shed now, which were not before.
        """
        holder.held_bytes += count
        if holder.is_shed:
            return []
        self._count(holder, count)
        if holder.held_bytes:
            self._holders.add(holder)
        else:
            self._holders.discard(holder)
        return self._list_excess(holder, now_s) if count > 0 else []

    def set_organisation(
        self, holder: Holder, name: str, now_s: float = 0
    ) -> list[Holder]:
        """Record whose connection it is; return what is to be shed now."""
        if holder.is_shed or holder.organisation == name:
            return []
        self._count(holder, -holder.held_bytes)
        holder.organisation = name
        self._count(holder, holder.held_bytes)
        return self._list_excess(holder, now_s)

    def _list_excess(self, holder: Holder, now_s: float) -> list[Holder]:
        limits = self.limits
        shed = []
        if 0 < limits.connection_bytes < holder.held_bytes:
            shed.append(self._shed(holder))
        name = holder.organisation
        # Calls whose organisation is not known yet have no bound in common.
        if name and limits.organisation_bytes:
            while self._by_organisation[name] > limits.organisation_bytes:
                shed.append(self._shed_largest(name, now_s))
        if limits.instance_bytes:
            while self.total_bytes > limits.instance_bytes:
                largest = max(
                    self._by_organisation,
                    key=self._by_organisation.__getitem__,
                )
                shed.append(self._shed_largest(largest, now_s))
        return shed

    def _shed_largest(self, organisation: str, now_s: float) -> Holder:
        """Shed what arrives before what is served, and then the largest.

        Bytes that arrive count as often as seconds have passed. Callers that
        stop before the end are thus shed before one that sends a longer
        request, however many they are.
        """

        def rank(holder: Holder) -> tuple[bool, float, int]:  # noqa: WPS430
            age_s = now_s - holder.began_s if holder.is_arriving else 0
            held_bytes = holder.held_bytes
            return holder.is_arriving, age_s * held_bytes, held_bytes

        found = (
            holder
            for holder in self._holders
            if holder.organisation == organisation
        )
        return self._shed(max(found, key=rank))

    def _shed(self, holder: Holder) -> Holder:
        """Count a connection as released, so that no other is shed for it."""
        self._count(holder, -holder.held_bytes)
        self._holders.discard(holder)
        holder.is_shed = True
        return holder

    def _count(self, holder: Holder, count: int) -> None:
        self.total_bytes += count
        name = holder.organisation
        self._by_organisation[name] += count
        if not self._by_organisation[name]:
            self._by_organisation.pop(name)


def find_held_limits(memory_bytes: int, *, has_scarce_room: bool) -> HeldLimits:
    """Return the bounds of a process.

    :param memory_bytes: memory that it may use, zero if unknown.
    :param has_scarce_room: whether organisations and connections are bounded
        as well.
    """
    instance_bytes = int(memory_bytes * INSTANCE_SHARE)
    if not has_scarce_room:
        return HeldLimits(instance_bytes)
    return HeldLimits(
        instance_bytes,
        int(instance_bytes * ORGANISATION_SHARE),
        int(instance_bytes * CONNECTION_SHARE),
    )
