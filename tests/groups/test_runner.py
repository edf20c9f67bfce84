"""Tests of the group runner."""

import pytest
from attrs import evolve

from tests.groups.test_planner import PROFILE, SERVICE, make_candidates
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.effects import ReleaseHolding, RunGroupStep
from trefoilhinge.core.events import (
    EngineStateRead,
    GroupStepEnded,
    HoldingReleased,
)
from trefoilhinge.core.identifiers import (
    AttemptId,
    InstanceIdentity,
    InstanceName,
    ReservationTag,
    TargetName,
)
from trefoilhinge.core.reports import EngineState, Reservation
from trefoilhinge.groups.interfaces import GroupFailed, GroupReady
from trefoilhinge.groups.planner import plan_group
from trefoilhinge.groups.runner import make_chain_group_runner
from trefoilhinge.groups.tags import format_owner, make_tag, parse_tag

NOW = Instant(10, 1_000)
OWNER = InstanceIdentity(InstanceName('entry-0'), 7)
ATTEMPT = AttemptId(PROFILE.request_id, 1)
STEPS = 10


def start_group():
    """Return a runner and the first effect of a group of three."""
    runner = make_chain_group_runner(OWNER)
    placed = plan_group(PROFILE, SERVICE, make_candidates('kandy', 3), NOW)
    (effect,) = runner.start(ATTEMPT, PROFILE, placed.members, NOW)
    return runner, effect


def answer(effect, succeeded=True):
    """Return the answer of an engine to a step."""
    return GroupStepEnded(
        effect.attempt,
        effect.target,
        effect.tag,
        effect.step,
        succeeded,
        handle=f'export-of-{effect.target}',
    )


def run_steps(runner, effect, count):
    """Run ``count`` successful steps; return them and the last outcome."""
    done = []
    effects, progress = (effect,), None
    while effects and len(done) < count:
        done.append(effects[0])
        effects, progress = runner.note_step(answer(effects[0]), NOW)
    return done, effects, progress


def read_state(tag, expires_wall_s, target='kandy-0'):
    """Return an engine's state with one reservation."""
    reservation = Reservation(ReservationTag(tag), 'owner', 1, expires_wall_s)
    state = EngineState(
        TargetName(target), 0, '', '', (), 'both', True, (reservation,)
    )
    return EngineStateRead(TargetName(target), state, 'a:1')


class TestSteps:
    """Order of the steps."""

    def test_reserves_in_order_of_names_then_runs_the_chain(self):
        """Every member is reserved before the first is prefilled."""
        runner, effect = start_group()
        done, _, progress = run_steps(runner, effect, STEPS)
        assert [one.step for one in done] == [
            *('reserve',) * 3,
            *('prefill', 'export', 'import') * 2,
            'prefill',
        ]
        names = [one.target for one in done[:3]]
        assert names == sorted(names)
        assert isinstance(progress, GroupReady)
        assert progress.tag == done[-1].tag

    def test_import_names_the_export(self):
        """Each import is given the handle of the export before it."""
        runner, effect = start_group()
        done, _, _ = run_steps(runner, effect, STEPS)
        for before, step in zip(done, done[1:], strict=False):
            if step.step == 'import':
                assert step.handle == f'export-of-{before.target}'

    def test_expiry_is_the_deadline(self):
        """Reservations expire when their request must have ended."""
        _, effect = start_group()
        left_s = PROFILE.deadline_s - NOW.monotonic_s
        assert effect.expires_wall_s == NOW.wall_s + left_s


class TestRelease:
    """Memory is released on every path."""

    @pytest.mark.parametrize('failing', range(STEPS))
    def test_failure_at_each_step(self, failing):
        """Exactly the reservations that were sent are released."""
        runner, effect = start_group()
        done, effects, _ = run_steps(runner, effect, failing)
        step = effects[0] if done else effect
        released, progress = runner.note_step(answer(step, False), NOW)
        assert progress == GroupFailed(ATTEMPT)
        asked = {one.tag for one in (*done, step) if one.step == 'reserve'}
        assert {one.tag for one in released} == asked
        assert all(isinstance(one, ReleaseHolding) for one in released)
        assert set(runner.list_unreleased()) == asked

    def test_repeated_until_confirmed(self):
        """A release without an answer is sent again."""
        runner, effect = start_group()
        (release,) = runner.release(ATTEMPT, NOW)
        lost = HoldingReleased(release.target, release.tag, False)
        runner.note_released(lost, NOW)
        assert runner.retry_releases(NOW) == ()
        assert runner.retry_releases(NOW.shift(1.5)) == (release,)
        runner.note_released(evolve(lost, succeeded=True), NOW)
        assert runner.retry_releases(NOW.shift(20)) == ()
        assert runner.list_unreleased() == ()

    def test_release_twice_is_harmless(self):
        """The second release of an attempt has no effects."""
        runner, effect = start_group()
        assert runner.release(ATTEMPT, NOW)
        assert runner.release(ATTEMPT, NOW) == ()

    @pytest.mark.parametrize(
        'late',
        (Instant(60, 1_000), Instant(10, 1_050)),
    )
    def test_resumed_past_the_expiry(self, late):
        """Past the expiry by either clock, reservations are not used."""
        runner, effect = start_group()
        effects, progress = runner.note_step(answer(effect), late)
        assert progress == GroupFailed(ATTEMPT)
        assert not any(isinstance(one, RunGroupStep) for one in effects)

    def test_late_answer_is_ignored(self):
        """An answer to a step of a released group changes nothing."""
        runner, effect = start_group()
        runner.release(ATTEMPT, NOW)
        assert runner.note_step(answer(effect), NOW) == ((), None)

    def test_answer_to_another_step_is_ignored(self):
        """A repeated answer does not advance the group."""
        runner, effect = start_group()
        runner.note_step(answer(effect), NOW)
        assert runner.note_step(answer(effect), NOW) == ((), None)


class TestOrphans:
    """Reservations without a live owner."""

    other = InstanceIdentity(InstanceName('entry-9'), 3)

    def list_released(self, tag, expires_wall_s, live):
        """Return what is released on reading one reservation."""
        runner, _ = start_group()
        event = read_state(tag, expires_wall_s)
        return runner.note_state(event, frozenset(live), NOW)

    def test_dead_owner_past_expiry(self):
        """A reservation of a dead owner is released past its expiry."""
        tag = make_tag(self.other, ATTEMPT, 0)
        expected = ReleaseHolding(TargetName('kandy-0'), 'a:1', tag)
        assert self.list_released(tag, 900, {OWNER}) == (expected,)

    def test_dead_owner_within_the_clock_margin(self):
        """A margin allows for clock skew between instances."""
        tag = make_tag(self.other, ATTEMPT, 0)
        assert self.list_released(tag, 997, {OWNER}) == ()

    def test_live_owner(self):
        """A live owner has longer to release its own reservations."""
        tag = make_tag(self.other, ATTEMPT, 0)
        assert self.list_released(tag, 990, {OWNER, self.other}) == ()
        assert len(self.list_released(tag, 990, {OWNER})) == 1

    def test_live_owner_long_past_the_expiry(self):
        """A reservation that a live owner failed to release is released."""
        tag = make_tag(self.other, ATTEMPT, 0)
        assert len(self.list_released(tag, 900, {OWNER, self.other})) == 1

    def test_earlier_incarnation_is_no_live_owner(self):
        """A restarted instance does not keep its earlier reservations."""
        tag = make_tag(self.other, ATTEMPT, 0)
        later = evolve(self.other, incarnation=4)
        assert len(self.list_released(tag, 900, {OWNER, later})) == 1

    def test_own_reservation_that_is_not_known(self):
        """A reservation that arrived after its release is released at once."""
        tag = make_tag(OWNER, AttemptId(PROFILE.request_id, 9), 0)
        assert len(self.list_released(tag, 5_000, {OWNER})) == 1

    def test_own_reservation_in_use(self):
        """The reservations of a group in progress are kept."""
        tag = make_tag(OWNER, ATTEMPT, 0)
        assert self.list_released(tag, 900, {OWNER}) == ()

    def test_foreign_tag(self):
        """A reservation with a tag of another format is kept."""
        assert self.list_released('warm-cache', 0, {OWNER}) == ()


class TestTags:
    """Tags are parsed by any instance and are safe in URL paths."""

    def test_read_back(self):
        """A parsed tag has its owner, attempt and member."""
        read = parse_tag(make_tag(OWNER, ATTEMPT, 2))
        assert (read.owner, read.attempt, read.member) == (OWNER, 'huge.1', 2)

    @pytest.mark.parametrize('number', ['', '-1', '\u00b2', '1' * 5_000])
    def test_odd_numbers(self, number):
        """Guards against a foreign tag that ends the clean-up of all."""
        assert parse_tag(f'entry-1~{number}~huge.1~2') is None
        assert parse_tag(f'entry-1~5~huge.1~{number}') is None

    def test_url_path(self):
        """No character of a tag needs quoting in a URL path."""
        tag = make_tag(OWNER, ATTEMPT, 2)
        assert set(tag) <= set('abcdefghijklmnopqrstuvwxyz0123456789-._~')

    def test_owner(self):
        """An owner is formatted as its name and incarnation."""
        assert format_owner(OWNER) == 'entry-0:7'
