"""Calls that come in phases of short and of long work, in turn."""

from collections.abc import Iterator

import numpy as np
from attrs import frozen

from trefoilhinge.dispatch.calls import PromptSize
from trefoilhinge.dispatch.documents import CallKind, Route, ServiceShare

SHORT_RATE_SPAN = (0.32, 2.5)  # of the usual rate, in long and short phases
MIDDLE_RATE_SPAN = (1.3, 0.5)
LONG_RATE_SPAN = (2.8, 0.05)
PHASE_S = 10.5  # of the users' heaviest days
HINT_SPREAD = 0.5  # of callers' own estimates of their answers


@frozen
class CallClass:
    """One kind of call.

    :ivar rate: calls a second.
    :ivar worth: worth of a call of the mean size, in any unit.
    :ivar late_worth: the same of one that came late.
    :ivar prompt_mean: tokens; the spread is that of the logarithm.
    :ivar answer_mean: the same for tokens of the answer.
    """

    route: Route
    rate: float
    rate_span: tuple[float, float]
    worth: float
    late_worth: float
    prompt_mean: float
    prompt_spread: float
    prompt_maximum: int
    answer_mean: float
    answer_spread: float
    answer_maximum: int


@frozen
class Arrival:
    """One call that comes.

    :ivar answer_tokens: tokens that it will really write.
    """

    at_s: float
    kind: CallClass
    size: PromptSize
    answer_tokens: int

    @property
    def share(self) -> float:
        """Return its worth in those of a call of the mean size."""
        kind = self.kind
        size = self.size.prompt_tokens + 10 * self.answer_tokens
        mean = kind.prompt_mean + 10 * kind.answer_mean
        return min(4, 0.3 + 0.7 * size / mean)


def make_route(
    name: str, aim_s: float, gap_slo_s: float, timeout_s: float
) -> Route:
    """Return a route of resumable streams."""
    return Route(
        name=name,
        host='measure.example',
        prefix=f'/{name}/',
        kind=CallKind.stream,
        timeout_s=timeout_s,
        slo_s=aim_s,
        gap_slo_s=gap_slo_s,
        priority=1,
        shares=(ServiceShare('model', 1),),
        attempts=2,
        is_public=False,
        is_resumable=True,
    )


def list_arrivals(
    kinds: tuple[CallClass, ...],
    seconds: float,
    seed: int,
) -> list[Arrival]:
    """Return the calls of some time, in their order."""
    random = np.random.default_rng(seed)
    offset_s = random.uniform(0, PHASE_S)
    found = [
        arrival
        for kind in kinds
        for arrival in _draw_kind(kind, seconds, offset_s, random)
    ]
    return sorted(found, key=lambda arrival: arrival.at_s)


def _draw_kind(
    kind: CallClass,
    seconds: float,
    offset_s: float,
    random: np.random.Generator,
) -> Iterator[Arrival]:
    most = kind.rate * max(kind.rate_span)
    at_s = 0.0  # noqa: WPS358
    while True:
        at_s += random.exponential(1 / most)
        if at_s >= seconds:
            return
        phase = int((at_s + offset_s) / PHASE_S) % 2
        if random.uniform() * max(kind.rate_span) > kind.rate_span[phase]:
            continue
        prompt = _draw_size(
            kind.prompt_mean, kind.prompt_spread, kind.prompt_maximum, random
        )
        answer = _draw_size(
            kind.answer_mean, kind.answer_spread, kind.answer_maximum, random
        )
        hint = answer * random.lognormal(0, HINT_SPREAD)
        expected = int(min(hint, kind.answer_maximum))
        size = PromptSize(prompt, kind.answer_maximum, expected)
        yield Arrival(at_s, kind, size, answer)


def _draw_size(
    mean: float,
    spread: float,
    maximum: int,
    random: np.random.Generator,
) -> int:
    drawn = random.lognormal(np.log(mean) - spread * spread / 2, spread)
    return int(max(40, min(maximum, drawn)))
