"""Encoding of summaries of learned costs, as lists of fields."""

import math

from trefoilhinge.dispatch.estimation.group_table import (
    MAXIMUM_LOGARITHM,
    MAXIMUM_SUMMARY_GROUPS,
    GroupSummary,
)
from trefoilhinge.dispatch.estimation.log_statistics import (
    MAXIMUM_VARIANCE,
    Distribution,
)
from trefoilhinge.dispatch.message_checks import check_range
from trefoilhinge.dispatch.messages import CostsSummarised

SUMMARY_KIND = 'k'


def list_summary_fields(message: CostsSummarised) -> list[object]:
    """Return the fields of a message, the first one its kind."""
    entries = [
        [
            group.key,
            group.distribution.mean,
            group.distribution.variance,
            group.distribution.samples,
        ]
        for group in message.groups[:MAXIMUM_SUMMARY_GROUPS]
    ]
    return [SUMMARY_KIND, entries]


def decode_summary(fields: object) -> CostsSummarised:
    """Decode the fields of a message.

    :raises ValueError: the fields are of unexpected number, type or value.
    """
    match fields:
        case ['k', list(entries)] if len(entries) <= MAXIMUM_SUMMARY_GROUPS:
            return CostsSummarised(
                tuple(_decode_group(entry) for entry in entries)
            )
        case _:
            raise ValueError('summary of costs with unexpected fields')


def _decode_group(fields: object) -> GroupSummary:
    match fields:
        case [
            int(key),
            int() | float() as mean,
            int() | float() as variance,
            int() | float() as samples,
        ] if math.isfinite(mean) and abs(mean) <= MAXIMUM_LOGARITHM:
            spread = min(check_range(variance), MAXIMUM_VARIANCE)
            return GroupSummary(
                key, Distribution(mean, spread, check_range(samples))
            )
        case _:
            raise ValueError('group of a summary with unexpected fields')
