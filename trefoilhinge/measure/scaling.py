"""The ``trefoilhinge measure --slopes`` command: costs that grow with size."""

import json
import pathlib
import sys

import cattrs
from attrs import frozen

from trefoilhinge.measure.control_plane_cost import (
    ControlPlaneCosts,
    measure_control_plane,
)
from trefoilhinge.measure.decision_cost import DecisionCost, measure_decisions
from trefoilhinge.measure.exchanges import (
    FLEET_SIZES,
    ExchangeCost,
    measure_exchanges,
)
from trefoilhinge.measure.load_read_cost import ReadCost, measure_load_reads

EXAMPLES_DIRECTORY = pathlib.Path(__file__).parents[2] / 'examples'


@frozen
class ScalingCosts:
    """Every cost that is measured at several sizes.

    :ivar decisions: routing decisions, by targets.
    :ivar reads: reads of a target's load.
    :ivar exchanges: messages between instances, by instances.
    :ivar scale: documents, keys, timers and calls.
    """

    decisions: tuple[DecisionCost, ...]
    reads: tuple[ReadCost, ...]
    exchanges: tuple[ExchangeCost, ...]
    scale: ControlPlaneCosts


def measure_scaling(deployment: str) -> ScalingCosts:
    """Measure every size; takes minutes.

    :param deployment: name of the example whose document is grown.
    """
    document_file = EXAMPLES_DIRECTORY / f'{deployment}.json'
    return ScalingCosts(
        measure_decisions(document_file),
        measure_load_reads(),
        tuple(measure_exchanges(*size) for size in FLEET_SIZES),
        measure_control_plane(document_file),
    )


def print_scaling(deployment: str) -> None:
    """Print the figures as one JSON object."""
    costs = cattrs.unstructure(measure_scaling(deployment))
    json.dump(costs, sys.stdout, indent=2)
    sys.stdout.write('\n')
