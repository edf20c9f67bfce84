"""The ``trefoilhinge measure --slopes`` command: cost by deployment size."""

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
    """Costs measured at several sizes.

    :ivar decisions: routing decisions, by number of targets.
    :ivar reads: reads of load reports, by number of reads.
    :ivar exchanges: peer exchanges, by number of instances.
    :ivar scale: documents, idempotency keys, timers and calls.
    """

    decisions: tuple[DecisionCost, ...]
    reads: tuple[ReadCost, ...]
    exchanges: tuple[ExchangeCost, ...]
    scale: ControlPlaneCosts


def measure_scaling(deployment: str) -> ScalingCosts:
    """Measure every size.

    This takes minutes.

    :param deployment: name of the example document that is enlarged.
    """
    document_file = EXAMPLES_DIRECTORY / f'{deployment}.json'
    return ScalingCosts(
        measure_decisions(document_file),
        measure_load_reads(),
        tuple(measure_exchanges(*size) for size in FLEET_SIZES),
        measure_control_plane(document_file),
    )


def print_scaling(deployment: str) -> None:
    """Print the costs as one JSON object."""
    costs = cattrs.unstructure(measure_scaling(deployment))
    json.dump(costs, sys.stdout, indent=2)
    sys.stdout.write('\n')
