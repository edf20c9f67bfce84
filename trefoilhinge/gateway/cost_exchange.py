"""Summaries of learned costs, sent to new peers and taken from them."""

from trefoilhinge.dispatch.messages import CostsSummarised
from trefoilhinge.gateway.learned_costs import has_learned_costs
from trefoilhinge.gateway.state import GatewayState


def list_summaries(state: GatewayState) -> list[CostsSummarised]:
    """Return what a new peer is told: one message, or none if empty."""
    if not has_learned_costs(state):
        return []
    state.costs.advance(state.get_now_s())
    groups = state.costs.summarise()
    return [CostsSummarised(groups)] if groups else []


def take_summary(
    state: GatewayState, message: CostsSummarised, peer: str
) -> None:
    """Learn from what a peer has learned; ignore it where costs do not count.

    A peer sends it when it hears this instance first, which is before this one
    has read its document and can know whether they do.
    """
    if state.document is not None and not has_learned_costs(state):
        return
    state.costs.merge(message.groups, state.get_now_s())
    state.log.write('costs_taken', peer=peer, groups=len(message.groups))
