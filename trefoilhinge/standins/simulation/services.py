"""Fake plain services and fake platform services."""

from attrs import define, field, frozen

from trefoilhinge.core.identifiers import TargetName
from trefoilhinge.core.reports import ListedInstance, ListedTarget


@frozen
class RequestStart:
    """Start of a request on a target.

    :ivar at_s: time since the start of the simulation, in seconds.
    :ivar request: request that was started.
    :ivar instance: instance that sent it.
    """

    at_s: float
    request: str
    instance: str


@define
class FakePlainService:
    """One plain service.

    :ivar runs: number of runs by request.
    :ivar refuses: whether it refuses calls before they start.
    :ivar serve_s: time from running a call to its response, in seconds.
    """

    name: TargetName
    runs: dict[str, int] = field(factory=dict)
    refuses: bool = False
    serve_s: float = 0

    def call(self, request: str) -> bool:
        """Run a call; false if it was refused before it started."""
        if self.refuses:
            return False
        self.runs[request] = self.runs.get(request, 0) + 1
        return True


@define
class FakePlatform:
    """The configuration service and the instance list.

    :ivar published: texts of the published documents, oldest first.
    :ivar served: index of the document that is served; -1 for the newest.
    :ivar down: whether the configuration service is unavailable.
    :ivar list_down: whether the instance list is unavailable.
    :ivar reads: number of reads of the configuration service.
    """

    published: list[str] = field(factory=list)
    served: int = -1
    down: bool = False
    list_down: bool = False
    instances: tuple[ListedInstance, ...] = ()
    targets: tuple[ListedTarget, ...] = ()
    reads: int = 0

    def read_document(self) -> str | None:
        """Return the text of the served document; none while unavailable."""
        self.reads += 1
        if self.down or not self.published:
            return None
        return self.published[self.served]
