"""Fleet configuration: routes, services, organisations and caller limits."""

import enum
from collections.abc import Mapping

from attrs import field, frozen

REQUEST_HASH_VALUES = 2**32  # number of values of a 32-bit hash
DISTANT_DOMAIN_DELAY_S = 0.002  # one way


class CallKind(enum.Enum):
    """Whether and how a call may be retried."""

    idempotent = 'idempotent'
    once = 'once'
    stream = 'stream'


@frozen
class ServiceShare:
    """A service that receives a weighted share of a route's calls."""

    service: str
    weight: float


@frozen
class Route:
    """Rules for the calls to one host under one path prefix.

    :ivar timeout_s: maximum duration of a call, seconds.
    :ivar slo_s: latency objective of the answer or of a stream's first
        event, seconds.
    :ivar gap_slo_s: maximum gap between two events that meets the objective,
        seconds.
    :ivar priority: priority of the calls; 0 is the highest.
    :ivar shares: services that receive the calls, with their weights.
    :ivar attempts: maximum number of targets that may run one call.
    :ivar is_public: whether callers need no API key.
    :ivar is_resumable: whether a broken stream can be resumed at an event.
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
        """Return whether a call may run more than once.

        Only a stream can be resumed: the kind of a call counts for more than
        a document that calls its route resumable.
        """
        if self.kind is CallKind.stream:
            return self.is_resumable
        return self.kind is CallKind.idempotent

    def choose_service(self, request_hash: int) -> str:
        """Return the service of one call.

        :param request_hash: uniformly distributed hash of the call, at least
            0 and below 2**32.
        """
        total = sum(share.weight for share in self.shares)
        remaining = request_hash / REQUEST_HASH_VALUES * total
        for share in self.shares:
            remaining -= share.weight
            if remaining < 0:
                return share.service
        return self.shares[-1].service


@frozen
class EngineProfile:
    """Capacity and latency model of a service's engines.

    The values are published by the operator.

    :ivar slots: number of calls that an engine runs concurrently.
    :ivar memory_tokens: KV memory of an engine, in tokens.
    :ivar steps_per_iteration: steps of an iteration that has a decoding
        stream.
    :ivar step_ms: duration of a step with no decoding stream and no prefill.
    :ivar per_stream_ms: duration added to a step by each decoding stream.
    :ivar context_ms_per_k: duration added to a step by each 1,000 tokens of
        context of the decoding streams.
    :ivar prefill_tokens_per_ms: prompt tokens prefilled per millisecond,
        without attention.
    :ivar pairs_ms_per_m: milliseconds of attention per million pairs of a
        prompt token and an earlier one.
    :ivar chunk_tokens: maximum number of prompt tokens prefilled in one step.
    :ivar usual_output_tokens: mean number of generated tokens, zero if unknown.
    :ivar domain_delays_s: one-way delay between two failure domains, seconds,
        by the unordered pair of their names.
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
    usual_output_tokens: float = 0
    domain_delays_s: Mapping[frozenset[str], float] = field(factory=dict)

    def find_delay_s(self, domain: str, other: str) -> float:
        """Return the one-way delay between two failure domains, seconds.

        It is zero within a domain and where none is published.
        """
        return self.domain_delays_s.get(frozenset((domain, other)), 0)


@frozen
class Service:
    """A set of interchangeable targets.

    :ivar engine: profile of the engines; none for a plain service.
    :ivar cold_s: seconds for which a target is cold after its start.
    :ivar cold_requests_per_s: rate that a cold target takes from all instances
        together, zero if its targets have no cold phase.
    """

    name: str
    maximum_connections: int
    engine: EngineProfile | None
    cold_s: float = 0
    cold_requests_per_s: float = 0


@frozen
class CallerLimits:
    """Limits on the size and the duration of callers' requests."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@frozen
class Organisation:
    """An organisation.

    :ivar priority: overrides the priority of the routes unless it is none.
    """

    name: str
    priority: int | None


@frozen
class FleetDocument:
    """One version of the configuration.

    :ivar version: version number; a newer document has a larger one.
    :ivar routes: routes by host, longest prefix first.
    :ivar services: services by name.
    :ivar organisations: organisations by API key; none if calls need no key.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    limits: CallerLimits
    organisations: Mapping[str, Organisation] | None = field(repr=False)

    @property
    def has_distant_domains(self) -> bool:
        """Return whether a call between failure domains costs noticeable time.

        A round trip is then as long as an iteration of an engine, or a tenth
        of the shortest objectives.
        """
        return any(
            delay_s >= DISTANT_DOMAIN_DELAY_S
            for service in self.services.values()
            if service.engine is not None
            for delay_s in service.engine.domain_delays_s.values()
        )

    def find_delay_s(self, domain: str, other: str) -> float:
        """Return the one-way delay between two failure domains, seconds.

        It is published with engines, but holds for all targets.
        """
        return max(
            (
                service.engine.find_delay_s(domain, other)
                for service in self.services.values()
                if service.engine is not None
            ),
            default=0,
        )

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, if any."""
        for route in self.routes.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_organisation(self, key: str | None) -> Organisation | None:
        """Return the organisation that owns an API key, if any."""
        if key is None or self.organisations is None:
            return None
        return self.organisations.get(key)


def sort_routes(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Group routes by host, longest prefix first."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), []).append(route)
    for found in by_host.values():
        found.sort(key=_get_prefix_length, reverse=True)
    return {host: tuple(found) for host, found in by_host.items()}


def _get_prefix_length(route: Route) -> int:
    return len(route.prefix)
