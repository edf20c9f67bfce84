"""The ``trefoilhinge measure --slopes`` command: costs that grow with size."""

import json
import pathlib
import sys

import cattrs
from attrs import frozen

from trefoilhinge.measure.control_plane_cost import ScaleCosts, measure_scale
from trefoilhinge.measure.decision_cost import DecisionCost, measure_slopes
from trefoilhinge.measure.exchanges import (
    SIZES,
    ExchangeFigures,
    measure_exchanges,
)
from trefoilhinge.measure.load_read_cost import ReadCost, measure_reads

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'


@frozen
class GrowthFigures:
    """Every cost that is measured at several sizes.

    :ivar decisions: routing decisions, by targets.
    :ivar reads: reads of a target's load.
    :ivar exchanges: messages between instances, by instances.
    :ivar scale: documents, keys, timers and calls.
    """

    decisions: tuple[DecisionCost, ...]
    reads: tuple[ReadCost, ...]
    exchanges: tuple[ExchangeFigures, ...]
    scale: ScaleCosts


def measure_growth(deployment: str) -> GrowthFigures:
    """Measure every size; takes minutes.

    :param deployment: name of the example whose document is grown.
    """
    document_file = EXAMPLES / f'{deployment}.json'
    return GrowthFigures(
        measure_slopes(document_file),
        measure_reads(),
        tuple(measure_exchanges(*size) for size in SIZES),
        measure_scale(document_file),
    )


def print_growth(deployment: str) -> None:
    """Print the figures as one JSON object."""
    figures = cattrs.unstructure(measure_growth(deployment))
    json.dump(figures, sys.stdout, indent=2)
    sys.stdout.write('\n')
