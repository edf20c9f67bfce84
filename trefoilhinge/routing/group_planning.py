"""Plans for prompts that no single engine can hold."""

from collections.abc import Sequence
from typing import Protocol

from attrs import define

from trefoilhinge.conf.generated.document import Service
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.groups.planner import Candidate, GroupPlan, plan_group


class GroupPlanner(Protocol):
    """Chooses the engines that share one prompt."""

    def plan(
        self,
        profile: CallProfile,
        service: Service,
        candidates: Sequence[Candidate],
        now: Instant,
    ) -> GroupPlan:
        """Return a group for a prompt, or why there is none."""
        ...


@define
class SingleDomainPlanner:
    """Takes the fewest engines of one failure domain."""

    def plan(
        self,
        profile: CallProfile,
        service: Service,
        candidates: Sequence[Candidate],
        now: Instant,
    ) -> GroupPlan:
        """Return a group for a prompt, or why there is none."""
        return plan_group(profile, service, candidates, now)
