"""Whether calls are placed by learned costs."""

from trefoilhinge.dispatch.documents import FleetDocument
from trefoilhinge.dispatch.settings import GatewaySettings


def uses_learned_costs(
    settings: GatewaySettings, document: FleetDocument | None
) -> bool:
    """Return whether placement uses learned costs.

    It does where callers compete for room, or where the location of a target
    matters, unless the operator has disabled it for a comparison.
    """
    if not settings.allows_learned_costs:
        return False
    if settings.has_scarce_room:
        return True
    return document is not None and document.has_distant_domains
