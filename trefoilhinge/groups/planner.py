"""Planner of engine groups for prompts that exceed one engine's memory.

The prompt is split into segments, one for each member, all within one failure
domain. The last member also needs memory for the output, because it decodes.
"""

from collections.abc import Iterable, Sequence

from attrs import frozen

from trefoilhinge.conf.generated.document import Service
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.core.verdicts import Refusal, RefusalCode, refuse_not_run
from trefoilhinge.membership.interfaces import TargetView
from trefoilhinge.routing.interfaces import (
    Deferred,
    GroupMember,
    GroupPlacement,
    Unplaceable,
)

# Share of an engine's memory that is kept free for short requests.
HEADROOM_SHARE = 0.1
DEFERRAL_S = 0.5

GroupPlan = GroupPlacement | Deferred | Unplaceable


@frozen
class Candidate:
    """Engine that may become a member.

    :ivar target: the engine.
    :ivar free_tokens: estimated free KV memory, in tokens.
    """

    target: TargetView
    free_tokens: int


def needs_group(profile: CallProfile, service: Service) -> bool:
    """Return whether a call exceeds the memory of one engine."""
    return profile.model and profile.total_tokens > service.memory_tokens


def plan_group(
    profile: CallProfile,
    service: Service,
    candidates: Iterable[Candidate],
    now: Instant,
) -> GroupPlan:
    """Select the members in the failure domain that needs the fewest.

    :param candidates: engines of the service; an engine that takes no new
        work is passed with no free memory.
    :return: the group, a deferral while no failure domain has enough free
        memory, or a refusal if none has enough memory at all.
    """
    domains = _group_by_failure_domain(candidates)
    usable_tokens = _compute_usable_tokens(service)
    needed_tokens = profile.total_tokens
    if not any(
        len(engines) * usable_tokens >= needed_tokens for engines in domains
    ):
        return Unplaceable(_refuse_size(service, domains, usable_tokens))
    groups = [
        chosen
        for domain in domains
        if (chosen := _choose_members(domain, needed_tokens, usable_tokens))
    ]
    if not groups:
        return Deferred(now.monotonic_s + DEFERRAL_S)
    best = min(groups, key=lambda group: (len(group), group[0].target.name))
    return GroupPlacement(_split_prompt(profile, best, usable_tokens))


def _compute_usable_tokens(service: Service) -> int:
    return int(service.memory_tokens * (1 - HEADROOM_SHARE))


def _group_by_failure_domain(
    candidates: Iterable[Candidate],
) -> list[list[Candidate]]:
    domains: dict[str, list[Candidate]] = {}
    for engine in candidates:
        domains.setdefault(engine.target.failure_domain, []).append(engine)
    return [domains[name] for name in sorted(domains)]


def _choose_members(
    domain: Sequence[Candidate],
    needed_tokens: int,
    usable_tokens: int,
) -> list[Candidate]:
    """Return the fewest engines with enough free memory, or an empty list."""
    ranked = sorted(
        domain, key=lambda engine: (-engine.free_tokens, engine.target.name)
    )
    chosen: list[Candidate] = []
    found_tokens = 0
    for engine in ranked:
        if found_tokens >= needed_tokens:
            break
        chosen.append(engine)
        found_tokens += min(usable_tokens, max(0, engine.free_tokens))
    return chosen if found_tokens >= needed_tokens else []


def _split_prompt(
    profile: CallProfile,
    chosen: Sequence[Candidate],
    usable_tokens: int,
) -> tuple[GroupMember, ...]:
    """Split a prompt as evenly as the members' memory allows."""
    ranked = sorted(
        chosen, key=lambda engine: (engine.free_tokens, engine.target.name)
    )
    # The last member has the most free memory, because it also decodes.
    remaining_tokens = profile.total_tokens
    first_token = 0
    members: list[GroupMember] = []
    for index, engine in enumerate(ranked):
        share = -(-remaining_tokens // (len(ranked) - index))
        tokens = min(share, usable_tokens, engine.free_tokens)
        remaining_tokens -= tokens
        prompt = min(tokens, profile.prompt_tokens - first_token)
        members.append(GroupMember(engine.target, first_token, prompt))
        first_token += prompt
    return tuple(members)


def _refuse_size(
    service: Service,
    domains: Sequence[Sequence[Candidate]],
    usable_tokens: int,
) -> Refusal:
    largest = (
        max((len(domain) for domain in domains), default=0) * usable_tokens
    )
    return refuse_not_run(
        RefusalCode.TOO_LARGE,
        'No failure domain has enough memory for this prompt; send a shorter '
        f'one, of at most {largest} tokens including its output.',
        limit='group_memory_tokens',
        limit_value=largest,
    )
