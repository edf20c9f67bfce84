"""Arrivals of a workload, drawn from a seed and the same for all policies."""

import math
from collections.abc import Iterator

import numpy as np
from attrs import define, field, frozen

from trefoilhinge.conf.generated.document import Document, Service
from trefoilhinge.core.identifiers import RequestId
from trefoilhinge.core.profiles import CallProfile

BLOCK_TOKENS = 512
MAXIMUM_PREFIX_BLOCKS = 512
DECADE_SHARES = (0.78, 0.2, 0.02)
SHORTEST_PROMPT_TOKENS = 1000
SYSTEM_PROMPT_BLOCKS = (1, 2, 4)
SCRIPTS = 3
DOCUMENTS = 6
DOCUMENT_BLOCKS = 64
DOCUMENT_READER_SHARE = 0.3
LONG_READER_SHARE = 0.25
MEAN_OUTPUT_TOKENS = 160
MAXIMUM_OUTPUT_TOKENS = 1000
BURST_FACTOR = 3.0
BURST_SHARE = 0.1
BURST_S = 5.0
PLAIN_SHARE = 0.05
BASE_TIME_LIMIT_S = 120.0
LONG_TIME_LIMIT_S = 900.0


@frozen
class Arrival:
    """One request of the workload.

    :ivar at_s: seconds from the start of the load.
    :ivar profile: the call; its deadline counts from the load's start.
    :ivar entry: number that the balancer picks an instance by.
    """

    at_s: float
    profile: CallProfile
    entry: int


@define
class _Script:
    """An example that callers copy: a system prompt and documents."""

    number: int
    system_blocks: int

    def list_system(self) -> tuple[int, ...]:
        return _number_blocks(self.number, 0, self.system_blocks)


@define
class WorkloadMaker:
    """Draws requests of one deployment.

    :ivar document: document that names organisations and services.
    :ivar generator: source of every random choice.
    """

    document: Document
    generator: np.random.Generator
    _scripts: dict[str, list[_Script]] = field(factory=dict)
    _own_blocks: int = 1_000_000

    def __attrs_post_init__(self) -> None:
        """Give each organisation its scripts."""
        number = 1
        for organisation in self.document.organisations:
            scripts = []
            for _ in range(SCRIPTS):
                blocks = int(self.generator.choice(SYSTEM_PROMPT_BLOCKS))
                scripts.append(_Script(number, blocks))
                number += 1
            self._scripts[organisation.name] = scripts

    def make_arrivals(
        self,
        requests_per_s: float,
        seconds: float,
    ) -> tuple[Arrival, ...]:
        """Return the requests of one run in order of time."""
        model = find_service(self.document, 'model')
        plain = find_service(self.document, 'plain')
        names = [one.name for one in self.document.organisations]
        weights = np.array(
            [one.tokens_per_s for one in self.document.organisations],
        )
        shares = weights / weights.sum()
        arrivals = []
        times = self._draw_times(requests_per_s, seconds)
        for number, at_s in enumerate(times):
            name = names[int(self.generator.choice(len(names), p=shares))]
            profile = self._make_model_call(number, name, model, at_s)
            arrivals.append(Arrival(at_s, profile, self._draw_entry()))
            if self.generator.random() < PLAIN_SHARE:
                booking = _make_plain_call(number, name, plain, at_s)
                arrivals.append(Arrival(at_s, booking, self._draw_entry()))
        return tuple(arrivals)

    def _draw_entry(self) -> int:
        return int(self.generator.integers(1 << 30))

    def _draw_times(
        self,
        requests_per_s: float,
        seconds: float,
    ) -> Iterator[float]:
        """Yield Poisson arrivals whose rate bursts for a while."""
        usual = 1 - BURST_SHARE
        calm_rate = requests_per_s / (usual + BURST_SHARE * BURST_FACTOR)
        at_s: float = 0
        while at_s < seconds:
            bursting = self.generator.random() < BURST_SHARE
            rate = calm_rate
            if bursting:
                rate *= BURST_FACTOR
            end_s = min(seconds, at_s + BURST_S)
            next_s = at_s + self.generator.exponential(1 / rate)
            while next_s < end_s:
                yield float(next_s)
                next_s += self.generator.exponential(1 / rate)
            at_s = end_s

    def _make_model_call(
        self,
        number: int,
        organisation: str,
        service: Service,
        at_s: float,
    ) -> CallProfile:
        tokens = self._draw_prompt_tokens(service)
        output = int(self.generator.exponential(MEAN_OUTPUT_TOKENS)) + 1
        limit_s = BASE_TIME_LIMIT_S
        if tokens > self.document.balance.long_tokens:
            limit_s = LONG_TIME_LIMIT_S
        return CallProfile(
            request_id=RequestId(f'r{number}'),
            organisation=organisation,
            service=service.name,
            model=True,
            path='/v1/chat/completions',
            idempotent=True,
            key='',
            body_digest='',
            prompt_tokens=tokens,
            output_tokens=min(output, MAXIMUM_OUTPUT_TOKENS),
            prefix_digests=self._draw_prefix(organisation, tokens),
            priority=5,
            deadline_s=at_s + limit_s,
            received_s=at_s,
        )

    def _draw_prompt_tokens(self, service: Service) -> int:
        decade = int(self.generator.choice(len(DECADE_SHARES), p=DECADE_SHARES))
        exponent = decade + self.generator.random()
        tokens = int(SHORTEST_PROMPT_TOKENS * 10**exponent)
        return min(tokens, service.maximum_prompt_tokens)

    def _draw_prefix(self, organisation: str, tokens: int) -> tuple[int, ...]:
        scripts = self._scripts[organisation]
        script = scripts[int(self.generator.integers(SCRIPTS))]
        wanted = min(tokens // BLOCK_TOKENS, MAXIMUM_PREFIX_BLOCKS)
        shared = script.list_system()
        reads = DOCUMENT_READER_SHARE
        if tokens > self.document.balance.long_tokens:
            reads = LONG_READER_SHARE
        if wanted > DOCUMENT_BLOCKS and self.generator.random() < reads:
            page = 1 + int(self.generator.integers(DOCUMENTS))
            shared += _number_blocks(script.number, page, DOCUMENT_BLOCKS)
        shared = shared[:wanted]
        self._own_blocks += MAXIMUM_PREFIX_BLOCKS
        own = range(self._own_blocks, self._own_blocks + wanted - len(shared))
        return (*shared, *own)


def _number_blocks(script: int, page: int, blocks: int) -> tuple[int, ...]:
    first = (script * (DOCUMENTS + 1) + page) * DOCUMENT_BLOCKS
    return tuple(range(first, first + blocks))


def _make_plain_call(
    number: int,
    organisation: str,
    service: Service,
    at_s: float,
) -> CallProfile:
    return CallProfile(
        request_id=RequestId(f'p{number}'),
        organisation=organisation,
        service=service.name,
        model=False,
        path='/bookings',
        idempotent=False,
        key='',
        body_digest='',
        prompt_tokens=1,
        output_tokens=0,
        prefix_digests=(),
        priority=5,
        deadline_s=at_s + BASE_TIME_LIMIT_S,
        received_s=at_s,
    )


def find_service(document: Document, kind: str) -> Service:
    """Return the first service of a kind."""
    return next(one for one in document.services if one.kind == kind)


def compute_mean_prompt(largest_tokens: float) -> float:
    """Return the mean tokens of a request, prompts above a size left out.

    A prompt that no engine can hold costs nothing, yet counts as a request.

    :param largest_tokens: longest prompt that is counted, in tokens.
    """
    mean: float = 0
    for decade, share in enumerate(DECADE_SHARES):
        low = SHORTEST_PROMPT_TOKENS * 10**decade
        high = min(largest_tokens, low * 10)
        mean += share * max(0, high - low) / math.log(10)
    return mean


def make_workload(document: Document, seed: int) -> WorkloadMaker:
    """Return a maker of requests.

    :param seed: the same seed gives the same requests.
    """
    return WorkloadMaker(document, np.random.default_rng(seed))
