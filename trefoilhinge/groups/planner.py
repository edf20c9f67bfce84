"""Plans a group of engines for a prompt beyond the memory of one engine.

The prompt is cut into segments, one for each member, all in one failure
domain. The last member also needs room for the output, because it decodes.
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

# Share of an engine's memory that stays free for short requests.
HEADROOM_SHARE = 0.1
DEFERRAL_S = 0.5

GroupPlan = GroupPlacement | Deferred | Unplaceable


@frozen
class Candidate:
    """An engine that could be a member.

    :ivar free_tokens: KV memory that is believed to be free, in tokens.
    """

    target: TargetView
    free_tokens: int


def needs_group(profile: CallProfile, service: Service) -> bool:
    """Return whether a call is beyond the memory of one engine."""
    return profile.model and profile.total_tokens > service.memory_tokens


def plan_group(
    profile: CallProfile,
    service: Service,
    candidates: Iterable[Candidate],
    now: Instant,
) -> GroupPlan:
    """Choose members in the failure domain that needs the fewest.

    :param candidates: engines of the service; one that takes no new work has
        nothing free.
    :return: the group, a wait while no domain has the memory free, or a
        refusal if none will ever have it.
    """
    domains = _group_by_failure_domain(candidates)
    usable = _compute_usable_tokens(service)
    needed = profile.total_tokens
    if not any(len(one) * usable >= needed for one in domains):
        return Unplaceable(_refuse_size(service, domains, usable))
    groups = [
        chosen
        for domain in domains
        if (chosen := _choose_members(domain, needed, usable))
    ]
    if not groups:
        return Deferred(now.monotonic_s + DEFERRAL_S)
    best = min(groups, key=lambda one: (len(one), one[0].target.name))
    return GroupPlacement(_split_prompt(profile, best, usable))


def _compute_usable_tokens(service: Service) -> int:
    return int(service.memory_tokens * (1 - HEADROOM_SHARE))


def _group_by_failure_domain(
    candidates: Iterable[Candidate],
) -> list[list[Candidate]]:
    domains: dict[str, list[Candidate]] = {}
    for one in candidates:
        domains.setdefault(one.target.failure_domain, []).append(one)
    return [domains[name] for name in sorted(domains)]


def _choose_members(
    domain: Sequence[Candidate],
    needed: int,
    usable: int,
) -> list[Candidate]:
    """Return the fewest engines with enough free memory, none if too few."""
    ranked = sorted(domain, key=lambda one: (-one.free_tokens, one.target.name))
    chosen: list[Candidate] = []
    found = 0
    for one in ranked:
        if found >= needed:
            break
        chosen.append(one)
        found += min(usable, max(0, one.free_tokens))
    return chosen if found >= needed else []


def _split_prompt(
    profile: CallProfile,
    chosen: Sequence[Candidate],
    usable: int,
) -> tuple[GroupMember, ...]:
    """Cut a prompt as evenly as the members' memory allows."""
    ranked = sorted(chosen, key=lambda one: (one.free_tokens, one.target.name))
    # The last one has the most memory free: it decodes the output too.
    left = profile.total_tokens
    first_token = 0
    members: list[GroupMember] = []
    for number, one in enumerate(ranked):
        share = -(-left // (len(ranked) - number))
        tokens = min(share, usable, one.free_tokens)
        left -= tokens
        prompt = min(tokens, profile.prompt_tokens - first_token)
        members.append(GroupMember(one.target, first_token, prompt))
        first_token += prompt
    return tuple(members)


def _refuse_size(
    service: Service,
    domains: Sequence[Sequence[Candidate]],
    usable: int,
) -> Refusal:
    largest = max((len(one) for one in domains), default=0) * usable
    return refuse_not_run(
        RefusalCode.TOO_LARGE,
        'No failure domain has the memory for this prompt; send a shorter '
        f'one, of at most {largest} tokens with its output.',
        limit='group_memory_tokens',
        limit_value=largest,
    )
