"""Synthetic workload.

Arrivals depend on the seed alone, so all policies receive the same requests.
"""

import math
from collections.abc import Iterator

import numpy as np
from attrs import define, field, frozen

from trefoilhinge.conf.generated.document import Document, Service
from trefoilhinge.core.identifiers import RequestId
from trefoilhinge.core.profiles import CallProfile

BLOCK_TOKENS = 512
MAXIMUM_PREFIX_BLOCKS = 512
# Shares of prompts of 1k to 10k, 10k to 100k and 100k to 1M tokens.
DECADE_SHARES = (0.78, 0.2, 0.02)
MINIMUM_PROMPT_TOKENS = 1000
SYSTEM_PROMPT_BLOCKS = (1, 2, 4)
TEMPLATES_PER_ORGANISATION = 3
DOCUMENTS_PER_TEMPLATE = 6
DOCUMENT_BLOCKS = 64
DOCUMENT_PROMPT_SHARE = 0.3
LONG_DOCUMENT_PROMPT_SHARE = 0.25
MEAN_OUTPUT_TOKENS = 160
MAXIMUM_OUTPUT_TOKENS = 1000
BURST_RATE_FACTOR = 3.0
BURST_SHARE = 0.1
BURST_INTERVAL_S = 5.0
PLAIN_SHARE = 0.05
BASE_TIME_LIMIT_S = 120.0
LONG_TIME_LIMIT_S = 900.0


@frozen
class Arrival:
    """One request of the workload.

    :ivar at_s: seconds from the start of the load.
    :ivar profile: the call; its times count from the start of the load.
    :ivar instance_draw: random number by which the load balancer picks an
        instance.
    """

    at_s: float
    profile: CallProfile
    instance_draw: int


@define
class _PromptTemplate:
    """Prompt prefix that calls share: a system prompt and documents.

    :ivar system_blocks: cache blocks of the system prompt.
    """

    number: int
    system_blocks: int

    def list_system_blocks(self) -> tuple[int, ...]:
        return _number_blocks(self.number, 0, self.system_blocks)


@define
class WorkloadGenerator:
    """Generates the requests of one deployment.

    :ivar document: document with the organisations and services.
    :ivar generator: source of every random choice.
    """

    document: Document
    generator: np.random.Generator
    _templates: dict[str, list[_PromptTemplate]] = field(factory=dict)
    _next_unique_block: int = 1_000_000

    def __attrs_post_init__(self) -> None:
        """Create the prompt templates of each organisation."""
        number = 1
        for organisation in self.document.organisations:
            templates = []
            for _ in range(TEMPLATES_PER_ORGANISATION):
                blocks = int(self.generator.choice(SYSTEM_PROMPT_BLOCKS))
                templates.append(_PromptTemplate(number, blocks))
                number += 1
            self._templates[organisation.name] = templates

    def generate_arrivals(
        self,
        requests_per_s: float,
        duration_s: float,
    ) -> tuple[Arrival, ...]:
        """Return the requests of one run in order of time.

        :param requests_per_s: mean rate of model calls.
        :param duration_s: duration of the load, seconds.
        """
        model = find_service(self.document, 'model')
        plain = find_service(self.document, 'plain')
        names = [
            organisation.name for organisation in self.document.organisations
        ]
        weights = np.array(
            [
                organisation.tokens_per_s
                for organisation in self.document.organisations
            ],
        )
        shares = weights / weights.sum()
        arrivals = []
        times = self._draw_times(requests_per_s, duration_s)
        for number, at_s in enumerate(times):
            name = names[int(self.generator.choice(len(names), p=shares))]
            profile = self._make_model_call(number, name, model, at_s)
            arrivals.append(Arrival(at_s, profile, self._draw_instance()))
            if self.generator.random() < PLAIN_SHARE:
                plain_call = _make_plain_call(number, name, plain, at_s)
                arrivals.append(
                    Arrival(at_s, plain_call, self._draw_instance())
                )
        return tuple(arrivals)

    def _draw_instance(self) -> int:
        return int(self.generator.integers(1 << 30))

    def _draw_times(
        self,
        requests_per_s: float,
        duration_s: float,
    ) -> Iterator[float]:
        """Yield the times of Poisson arrivals with random bursts.

        Each interval of ``BURST_INTERVAL_S`` is a burst with probability
        ``BURST_SHARE``. The mean rate over all intervals is
        ``requests_per_s``.
        """
        base_share = 1 - BURST_SHARE
        base_rate = requests_per_s / (
            base_share + BURST_SHARE * BURST_RATE_FACTOR
        )
        at_s: float = 0
        while at_s < duration_s:
            is_burst = self.generator.random() < BURST_SHARE
            rate = base_rate
            if is_burst:
                rate *= BURST_RATE_FACTOR
            end_s = min(duration_s, at_s + BURST_INTERVAL_S)
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
        tokens = int(MINIMUM_PROMPT_TOKENS * 10**exponent)
        return min(tokens, service.maximum_prompt_tokens)

    def _draw_prefix(self, organisation: str, tokens: int) -> tuple[int, ...]:
        templates = self._templates[organisation]
        template = templates[
            int(self.generator.integers(TEMPLATES_PER_ORGANISATION))
        ]
        block_count = min(tokens // BLOCK_TOKENS, MAXIMUM_PREFIX_BLOCKS)
        shared_blocks = template.list_system_blocks()
        document_share = DOCUMENT_PROMPT_SHARE
        if tokens > self.document.balance.long_tokens:
            document_share = LONG_DOCUMENT_PROMPT_SHARE
        if (
            block_count > DOCUMENT_BLOCKS
            and self.generator.random() < document_share
        ):
            document_number = 1 + int(
                self.generator.integers(DOCUMENTS_PER_TEMPLATE)
            )
            shared_blocks += _number_blocks(
                template.number, document_number, DOCUMENT_BLOCKS
            )
        shared_blocks = shared_blocks[:block_count]
        self._next_unique_block += MAXIMUM_PREFIX_BLOCKS
        unique = range(
            self._next_unique_block,
            self._next_unique_block + block_count - len(shared_blocks),
        )
        return (*shared_blocks, *unique)


def _number_blocks(
    template_number: int, document_number: int, blocks: int
) -> tuple[int, ...]:
    first = (
        template_number * (DOCUMENTS_PER_TEMPLATE + 1) + document_number
    ) * DOCUMENT_BLOCKS
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
    return next(
        service for service in document.services if service.kind == kind
    )


def compute_mean_prompt_tokens(largest_tokens: float) -> float:
    """Return the mean prompt tokens of a request, without larger prompts.

    A prompt that no engine can hold adds no tokens but counts as a request.

    :param largest_tokens: length of the longest prompt that is counted.
    """
    mean: float = 0
    for decade, share in enumerate(DECADE_SHARES):
        low = MINIMUM_PROMPT_TOKENS * 10**decade
        high = min(largest_tokens, low * 10)
        mean += share * max(0, high - low) / math.log(10)
    return mean


def make_workload_generator(document: Document, seed: int) -> WorkloadGenerator:
    """Return a generator of requests.

    :param seed: seed of all random choices; equal seeds give equal requests.
    """
    return WorkloadGenerator(document, np.random.default_rng(seed))
