"""Learned costs of calls: output tokens, prefill and service times."""

import math
from collections.abc import Iterable, Sequence

from attrs import define, field

from trefoilhinge.dispatch.estimation.estimates import (
    CallFeatures,
    Estimate,
    make_estimate,
)
from trefoilhinge.dispatch.estimation.group_table import (
    GroupKey,
    GroupSummary,
    GroupTable,
    make_key,
)
from trefoilhinge.dispatch.estimation.log_statistics import Distribution
from trefoilhinge.dispatch.estimation.remaining import estimate_remaining
from trefoilhinge.dispatch.estimation.samples import (
    OutputSample,
    PrefillSample,
    Sample,
    ServiceSample,
)

# Standard deviations of logarithms before enough samples are known. At that of
# outputs, half of the expected work of a run is left at its median.
OUTPUT_DEVIATION = 0.5
PREFILL_DEVIATION = 0.2
SERVICE_DEVIATION = 0.7
UNKNOWN_SERVICE_S = 0.05  # of a plain call, before any has been answered
MAXIMUM_PREFILL_FACTOR = 20.0  # a slower target is as good as unresponsive
# A smaller median is noise: samples contain a wait of up to one iteration.
MINIMUM_PREFILL_FACTOR = 1.2
# Prompts of other instances that are not known here yet make single prefills
# look slow; a target that is avoided for them leaves its calls to the others.
MINIMUM_PREFILL_SAMPLES = 2.0
MINIMUM_QUANTITY = 1e-6  # has a logarithm
_OUTPUT_PRIOR = Distribution(0, OUTPUT_DEVIATION**2)
_PREFILL_PRIOR = Distribution(0, PREFILL_DEVIATION**2)
_SERVICE_PRIOR = Distribution(math.log(UNKNOWN_SERVICE_S), SERVICE_DEVIATION**2)
_TARGET_PRIOR = Distribution(0, 0)


@define
class CostTable:
    """What calls cost, learned from those that ended.

    Its state is bounded by ``MAXIMUM_GROUPS``.
    """

    _table: GroupTable = field(factory=GroupTable)

    def __len__(self) -> int:
        """Return the number of groups of calls that are known."""
        return len(self._table)

    def advance(self, now_s: float) -> None:
        """Let the samples lose weight up to a time, in monotonic seconds."""
        self._table.now_s = max(self._table.now_s, now_s)

    def record(self, sample: Sample, now_s: float) -> None:
        """Learn from a call.

        :param now_s: monotonic seconds at which it ended.
        """
        self.advance(now_s)
        match sample:
            case OutputSample(features, tokens):
                self._table.record(
                    _OUTPUT_PRIOR,
                    _list_output_keys(features),
                    _log(tokens) - _log(features.hinted_tokens),
                )
            case PrefillSample(target, factor):
                self._table.record(
                    _PREFILL_PRIOR, [make_key('prefill', target)], _log(factor)
                )
            case ServiceSample():
                self._record_service(sample)

    def estimate_output_tokens(self, features: CallFeatures) -> Estimate:
        """Return the number of tokens that a call generates.

        Without samples of calls like it, this is the caller's hint.
        """
        hinted = features.hinted_tokens
        ratio = self._table.estimate(_OUTPUT_PRIOR, _list_output_keys(features))
        if not ratio.samples:
            return Estimate(hinted, hinted, 0)
        estimate = make_estimate(
            ratio.mean + _log(hinted), ratio.variance, ratio.samples
        )
        return estimate.limit(1, max(1, features.maximum_tokens))

    def get_output_deviation(self, features: CallFeatures) -> float:
        """Return the standard deviation of the logarithm of a call's output."""
        ratio = self._table.estimate(_OUTPUT_PRIOR, _list_output_keys(features))
        return math.sqrt(ratio.variance)

    def estimate_prefill_factor(self, target: str) -> Estimate:
        """Return a target's prefill time over that of its published profile.

        It is at least 1, and exactly 1 for a target that is not clearly slow.
        """
        factor = self._table.estimate(
            _PREFILL_PRIOR, [make_key('prefill', target)]
        )
        is_known = factor.samples >= MINIMUM_PREFILL_SAMPLES
        if not is_known or math.exp(factor.mean) < MINIMUM_PREFILL_FACTOR:
            return Estimate(1, 1, factor.samples)
        estimate = make_estimate(factor.mean, factor.variance, factor.samples)
        return estimate.limit(1, MAXIMUM_PREFILL_FACTOR)

    def estimate_service_s(
        self, features: CallFeatures, target: str
    ) -> Estimate:
        """Return the service time of a plain call at a target, in seconds."""
        service = self._estimate_service(features.route, target)
        return make_estimate(service.mean, service.variance, service.samples)

    def estimate_outstanding_s(
        self, target: str, elapsed_s: Iterable[float]
    ) -> float:
        """Return the seconds of service that a plain target has still to do.

        The longer a call has been running beyond the usual time, the longer it
        is expected to take still.

        :param elapsed_s: for how long each of its calls, of any route, has
            been running.
        """
        service = self._estimate_service('', target)
        median_s = math.exp(service.mean)
        deviation = math.sqrt(service.variance)
        return sum(
            estimate_remaining(median_s, deviation, one_s)
            for one_s in elapsed_s
        )

    def summarise(self) -> tuple[GroupSummary, ...]:
        """Return what a new instance is told, at most one datagram."""
        return self._table.summarise()

    def merge(self, summaries: Sequence[GroupSummary], now_s: float) -> None:
        """Add what another instance knows; its influence is bounded."""
        self.advance(now_s)
        self._table.merge(summaries)

    def _record_service(self, sample: ServiceSample) -> None:
        route = sample.features.route
        usual = self._estimate_route(route)
        logarithm = _log(sample.service_s)
        expected = self._estimate_service(route, sample.target).mean
        if not sample.is_complete and logarithm <= expected:
            return
        self._table.record(
            _TARGET_PRIOR,
            _list_target_keys(route, sample.target),
            logarithm - usual.mean,
        )
        self._table.record(_SERVICE_PRIOR, _list_route_keys(route), logarithm)

    def _estimate_route(self, route: str) -> Distribution:
        return self._table.estimate(_SERVICE_PRIOR, _list_route_keys(route))

    def _estimate_service(self, route: str, target: str) -> Distribution:
        """Return the distribution of a service time's logarithm.

        How a target compares with all of them is learned apart, so that a
        route that it has not served yet profits from the others.
        """
        usual = self._estimate_route(route)
        factor = self._table.estimate(
            _TARGET_PRIOR, _list_target_keys(route, target)
        )
        return Distribution(
            usual.mean + factor.mean,
            max(usual.variance, factor.variance),
            factor.samples,
        )


def _log(quantity: float) -> float:
    return math.log(max(quantity, MINIMUM_QUANTITY))


def _list_output_keys(features: CallFeatures) -> list[GroupKey]:
    """Return the groups of a model call, the widest first.

    Callers that give no hint are apart: their limit stands for it.
    """
    is_hinted = features.hinted_tokens < features.maximum_tokens
    prefix = ('output', features.route, is_hinted)
    size = features.prompt_tokens.bit_length() // 2
    return [
        make_key(*prefix),
        make_key(*prefix, features.organisation),
        make_key(*prefix, features.organisation, size),
    ]


def _list_route_keys(route: str) -> list[GroupKey]:
    """Return the groups of a plain call; an empty route stands for all."""
    keys = [make_key('service')]
    return [*keys, make_key('service', route)] if route else keys


def _list_target_keys(route: str, target: str) -> list[GroupKey]:
    keys = [make_key('target', target)]
    return [*keys, make_key('target', target, route)] if route else keys
