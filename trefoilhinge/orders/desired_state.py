"""Desired state of each target according to the document."""

import xxhash
from attrs import frozen

from trefoilhinge.conf.generated.document import DesiredState, Service
from trefoilhinge.core.reports import EngineState
from trefoilhinge.membership.interfaces import TargetView

FENCES_PER_REVISION = 65_536
# Revisions from this one on are not encoded in fences.
MAXIMUM_REVISION = 2**36
# A fence that is further ahead was not issued by this deployment.
MAXIMUM_LEAD_REVISIONS = 100_000


@frozen
class TargetGoal:
    """Desired state of one target.

    :ivar model: name of the model.
    :ivar version: version of the model.
    :ivar adapters: names of the adapters, sorted.
    :ivar role: ``both``, ``prefill`` or ``decode``.
    """

    model: str
    version: str
    adapters: tuple[str, ...]
    role: str

    def needs_load(self, state: EngineState) -> bool:
        """Return whether reaching the goal requires loading weights."""
        running = (state.model, state.version, tuple(sorted(state.adapters)))
        return running != (self.model, self.version, self.adapters)

    def is_met(self, state: EngineState) -> bool:
        """Return whether a target is in its desired state."""
        return not self.needs_load(state) and state.role == self.role


def list_goals(
    service: Service,
    targets: tuple[TargetView, ...],
) -> dict[str, TargetGoal]:
    """Return the goal of each target of a service, by target name."""
    desired = service.desired
    if desired is None:
        return {}
    prefill_targets = _choose_prefill_targets(desired, targets)
    return {
        target.name: TargetGoal(
            desired.model,
            desired.version,
            tuple(sorted(desired.adapters)),
            _choose_role(desired, target.name in prefill_targets),
        )
        for target in targets
    }


def choose_fence(reported: int, revision: int) -> int | None:
    """Return the fencing token of an order.

    The revision is encoded in the token, so that an instance partitioned from
    newer documents cannot revert orders based on them.

    :param reported: last fence that the target accepted.
    :param revision: revision of the document in force here.
    :return: fencing token, ``None`` if the target accepted an order of a
        newer revision.
    """
    if revision >= MAXIMUM_REVISION:
        return reported + 1
    lead_revisions = reported // FENCES_PER_REVISION - revision
    if 0 < lead_revisions <= MAXIMUM_LEAD_REVISIONS:
        return None
    return max(reported + 1, revision * FENCES_PER_REVISION)


def _choose_role(desired: DesiredState, is_prefill: bool) -> str:
    if not desired.prefill_share:
        return 'both'
    return 'prefill' if is_prefill else 'decode'


def _choose_prefill_targets(
    desired: DesiredState,
    targets: tuple[TargetView, ...],
) -> frozenset[str]:
    count = int(desired.prefill_share * len(targets))
    # Ranked by hash, so that adding or removing a target changes few roles.
    ranked = sorted(
        (target.name for target in targets),
        key=lambda name: xxhash.xxh64_intdigest(name.encode()),
    )
    return frozenset(ranked[:count])
