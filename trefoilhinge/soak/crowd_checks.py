"""Checks of the memory of instances after crowds of clients."""

from attrs import frozen

from trefoilhinge.soak.event_kinds import CrowdKind


@frozen
class ObservedCrowd:
    """The memory of an instance after a crowd.

    :ivar peak_mb: peak of the resident memory of the process.
    :ivar limit_mb: memory that it may use.
    """

    instance: str
    kind: CrowdKind
    peak_mb: float
    limit_mb: int

    @property
    def is_over(self) -> bool:
        """Return whether the process took more than it may use."""
        return self.peak_mb > self.limit_mb
