"""The fleet's document: routes, services, organisations and limits."""

import enum
from collections.abc import Mapping

from attrs import field, frozen

WEIGHT_HASH_SPAN = 2**32


class CallKind(enum.Enum):
    """What may be repeated of a call."""

    idempotent = 'idempotent'
    once = 'once'
    stream = 'stream'


@frozen
class ServiceShare:
    """A service's part of a route's calls."""

    service: str
    weight: float


@frozen
class Route:
    """Calls of one host below one path.

    :ivar timeout_s: longest time that a call may be kept, seconds.
    :ivar aim_s: time to the answer, or to a stream's first event, that the
        caller is promised, seconds.
    :ivar pause_aim_s: longest pause between events that is still on time,
        seconds.
    :ivar priority: rank, zero first.
    :ivar attempts: most targets that may run one call.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    timeout_s: float
    slo_s: float
    gap_slo_s: float
    priority: int
    shares: tuple[ServiceShare, ...]
    attempts: int
    is_public: bool
    is_resumable: bool

    @property
    def is_repeatable(self) -> bool:
        """Return whether a target may run the same call again."""
        return self.kind is CallKind.idempotent or self.is_resumable

    def choose_service(self, draw: int) -> str:
        """Return the service of one call.

        :param draw: number of the call from 0 to 2**32, evenly spread.
        """
        total = sum(share.weight for share in self.shares)
        mark = draw / WEIGHT_HASH_SPAN * total
        for share in self.shares:
            mark -= share.weight
            if mark < 0:
                return share.service
        return self.shares[-1].service


@frozen
class EngineProfile:
    """What the operator publishes about a service's engines.

    :ivar places: calls that an engine runs at once.
    :ivar memory_tokens: tokens that an engine's memory holds.
    :ivar stride: steps of a pass in which some call writes.
    :ivar step_ms: least duration of a step.
    :ivar per_writer_ms: duration added to a step by each writing call.
    :ivar context_ms_per_k: the same for each 1,000 tokens of its context.
    :ivar tokens_per_ms: prompt tokens read in a millisecond.
    :ivar pairs_ms_per_m: milliseconds for a million pairs of a token and any
        earlier one.
    :ivar chunk_tokens: most prompt tokens read in one step.
    """

    slots: int
    memory_tokens: int
    steps_per_iteration: int
    step_ms: float
    per_stream_ms: float
    context_ms_per_k: float
    prefill_tokens_per_ms: float
    pairs_ms_per_m: float
    chunk_tokens: int


@frozen
class Service:
    """Targets that answer the same calls; with engines, a model's."""

    name: str
    maximum_connections: int
    engine: EngineProfile | None


@frozen
class CallerLimits:
    """What a caller may send, and how long it may take."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@frozen
class Organisation:
    """An organisation; its priority goes before its routes'."""

    name: str
    priority: int | None


@frozen
class FleetDocument:
    """One version of the document; a larger version is newer.

    :ivar routes: routes of each host, the longest prefix first.
    :ivar organisations: by API key; none where calls need no key.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    limits: CallerLimits
    organisations: Mapping[str, Organisation] | None = field(repr=False)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        for route in self.routes.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_organisation(self, key: str | None) -> Organisation | None:
        """Return the organisation that holds a key."""
        if key is None or self.organisations is None:
            return None
        return self.organisations.get(key)


def sort_routes(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Group routes by host, the longest prefix first."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), []).append(route)
    for found in by_host.values():
        found.sort(key=_measure_prefix, reverse=True)
    return {host: tuple(found) for host, found in by_host.items()}


def _measure_prefix(route: Route) -> int:
    return len(route.prefix)
