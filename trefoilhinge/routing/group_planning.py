"""Planning of engine groups for prompts beyond one engine's memory."""

from collections.abc import Sequence
from typing import Protocol

from attrs import define

from trefoilhinge.conf.generated.document import Service
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.groups.planner import Candidate, GroupPlan, plan_group


class GroupPlanner(Protocol):
    """Selects the engines that share one prompt."""

    def plan(
        self,
        profile: CallProfile,
        service: Service,
        candidates: Sequence[Candidate],
        now: Instant,
    ) -> GroupPlan:
        """Return a group for a prompt, or the reason why there is none."""
        ...


@define
class SingleDomainPlanner:
    """Selects the fewest engines within one failure domain."""

    def plan(
        self,
        profile: CallProfile,
        service: Service,
        candidates: Sequence[Candidate],
        now: Instant,
    ) -> GroupPlan:
        """Return a group for a prompt, or the reason why there is none."""
        return plan_group(profile, service, candidates, now)
