"""Tests of the deployments that the benchmark of placements plays."""

import statistics

import pytest

from trefoilhinge.measure.phased_workload import generate_arrivals
from trefoilhinge.measure.placements import DEPLOYMENTS, list_call_classes

REGISTRY = DEPLOYMENTS[-1]


class TestDeployments:
    @pytest.mark.parametrize('deployment', DEPLOYMENTS)
    def test_classes_have_the_sizes_of_their_deployment(self, deployment):
        """Guards against classes that take another deployment's sizes."""
        classes = list_call_classes(deployment)
        for found, rate, sizes in zip(
            classes, deployment.rates, deployment.sizes, strict=True
        ):
            assert found.rate == rate
            assert (found.weight, found.late_weight) == sizes.weights
            assert found.prompt_mean_tokens == sizes.prompt_tokens[0]
            assert found.output_mean_tokens == sizes.output_tokens[0]
        assert classes[-1].route.slo_s == deployment.long_slo_s

    def test_largest_prompts_of_the_registry_cannot_be_on_time(self):
        """The pattern that the deployment was added for."""
        arrivals = generate_arrivals(
            list_call_classes(REGISTRY), duration_s=2_000, seed=1
        )
        prompts = [
            one.size.prompt_tokens
            for one in arrivals
            if one.call_class.route.name == 'long'
        ]
        assert statistics.mean(prompts) == pytest.approx(182_000, rel=0.1)
        assert max(prompts) > 800_000
