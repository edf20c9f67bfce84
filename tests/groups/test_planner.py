"""Tests of the group planner."""

import pytest
from attrs import evolve

from trefoilhinge.conf.generated.document import Service
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.identifiers import RequestId, TargetName
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.core.verdicts import RefusalCode, Verdict
from trefoilhinge.groups.planner import Candidate, needs_group, plan_group
from trefoilhinge.membership.interfaces import TargetView
from trefoilhinge.routing.interfaces import (
    Deferred,
    GroupPlacement,
    Unplaceable,
)

NOW = Instant(10, 1_000)
SERVICE = Service(name='writer', kind='model', memory_tokens=100_000)
PROFILE = CallProfile(
    request_id=RequestId('huge'),
    organisation='halls',
    service='writer',
    model=True,
    path='/v1/completions',
    idempotent=True,
    key='',
    body_digest='',
    prompt_tokens=230_000,
    output_tokens=1_000,
    prefix_digests=(),
    priority=5,
    deadline_s=60,
    received_s=0,
)


def make_candidates(domain, count, free_tokens=100_000):
    """Return engines of one failure domain."""
    return [
        Candidate(
            TargetView(TargetName(f'{domain}-{one}'), 'a:1', domain, 'writer'),
            free_tokens,
        )
        for one in range(count)
    ]


class TestPlan:
    """Sizes, domains and refusals."""

    def test_segments_cover_the_prompt(self):
        """Segments are contiguous and cover the prompt."""
        placed = plan_group(PROFILE, SERVICE, make_candidates('kandy', 4), NOW)
        assert isinstance(placed, GroupPlacement)
        at = 0
        for member in placed.members:
            assert member.first_token == at
            assert 0 < member.tokens <= 90_000
            at += member.tokens
        assert at == PROFILE.prompt_tokens
        assert len(placed.members) == 3

    def test_leader_has_room_for_the_output(self):
        """Prompt and output of the last member fit its memory."""
        profile = evolve(PROFILE, prompt_tokens=260_000, output_tokens=9_000)
        placed = plan_group(profile, SERVICE, make_candidates('kandy', 3), NOW)
        assert placed.members[-1].tokens + profile.output_tokens <= 90_000

    def test_one_failure_domain(self):
        """A group never spans failure domains."""
        candidates = make_candidates('kandy', 2) + make_candidates('nuwara', 3)
        placed = plan_group(PROFILE, SERVICE, candidates, NOW)
        domains = {one.target.failure_domain for one in placed.members}
        assert domains == {'nuwara'}

    def test_impossible_is_not_run(self):
        """A prompt that no failure domain can hold is refused before it runs."""
        candidates = make_candidates('kandy', 2) + make_candidates('nuwara', 2)
        placed = plan_group(PROFILE, SERVICE, candidates, NOW)
        assert isinstance(placed, Unplaceable)
        assert placed.refusal.verdict is Verdict.NOT_RUN
        assert placed.refusal.code is RefusalCode.TOO_LARGE
        assert placed.refusal.limit_value == 180_000

    @pytest.mark.parametrize('free_tokens', (0, -5, 50_000))
    def test_deferred_while_memory_is_in_use(self, free_tokens):
        """A prompt that would fit an idle failure domain is deferred."""
        candidates = make_candidates('kandy', 3, free_tokens)
        placed = plan_group(PROFILE, SERVICE, candidates, NOW)
        assert placed == Deferred(10.5)

    def test_uneven_memory(self):
        """No member is given more tokens than its free memory."""
        candidates = make_candidates('kandy', 2)
        small = make_candidates('kandy', 4, 60_000)[2:]
        placed = plan_group(PROFILE, SERVICE, candidates + small, NOW)
        held = {one.target.name: one.tokens for one in placed.members}
        assert all(held.get(one.target.name, 0) <= 60_000 for one in small)
        assert sum(held.values()) == PROFILE.prompt_tokens

    def test_small_prompt_needs_no_group(self):
        """A prompt that fits one engine stays on one."""
        assert needs_group(PROFILE, SERVICE)
        assert not needs_group(evolve(PROFILE, prompt_tokens=1), SERVICE)
