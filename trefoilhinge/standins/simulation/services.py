"""Fakes of plain services and of what the platform publishes."""

from attrs import define, field, frozen

from trefoilhinge.core.identifiers import TargetName
from trefoilhinge.core.reports import ListedInstance, ListedTarget


@frozen
class WorkStart:
    """Work that a target began.

    :ivar at_s: seconds since the start of the simulation.
    :ivar request: request that was begun.
    :ivar instance: instance that sent it.
    """

    at_s: float
    request: str
    instance: str


@define
class FakePlainService:
    """One plain service.

    :ivar runs: how often each request was run, by request.
    :ivar refuses: whether it refuses calls before they start.
    :ivar serve_s: seconds from the run of a call to its answer.
    """

    name: TargetName
    runs: dict[str, int] = field(factory=dict)
    refuses: bool = False
    serve_s: float = 0

    def call(self, request: str) -> bool:
        """Run a call; false proves that it was refused before start."""
        if self.refuses:
            return False
        self.runs[request] = self.runs.get(request, 0) + 1
        return True


@define
class FakePlatform:
    """The configuration service and the list of instances.

    :ivar texts: every document published, oldest first.
    :ivar served: index of the document that is served.
    :ivar down: whether the configuration service does not answer.
    :ivar reads: reads of the configuration service.
    """

    published: list[str] = field(factory=list)
    served: int = -1
    down: bool = False
    list_down: bool = False
    instances: tuple[ListedInstance, ...] = ()
    targets: tuple[ListedTarget, ...] = ()
    reads: int = 0

    def read_document(self) -> str | None:
        """Return the document that is served, none while down."""
        self.reads += 1
        if self.down or not self.published:
            return None
        return self.published[self.served]
