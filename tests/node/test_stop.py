"""Tests of the planned stop of a node on an injected clock."""

import pytest

from tests.node.nodes import Node, find, write_document
from tests.node.test_exchange import make_fleet
from tests.retries.calls import START_S, at
from trefoilhinge.core.effects import (
    AnswerKey,
    CancelAttempt,
    Dispatch,
    FinishCall,
    LogEvent,
    RefuseCall,
    StopProcess,
)
from trefoilhinge.core.events import (
    AttemptEnded,
    AttemptOutcome,
    ExitRequested,
    HoldingReleased,
    KeyRequested,
    StopRequested,
)
from trefoilhinge.core.identifiers import AttemptId
from trefoilhinge.core.verdicts import RefusalCode, Verdict
from trefoilhinge.node.stop_report import describe_stop

STOP_WAIT_S = 3.0  # of the nodes of the harness
HANDOVER_S = 10.0
CALL_S = 2.0
LONGEST_LIMIT_S = 60.0


def call(node, request_id, **options):
    deadline_s = START_S + node.elapsed_s + LONGEST_LIMIT_S
    return node.call(request_id=request_id, deadline_s=deadline_s, **options)


def finish(node, request_id):
    ended = AttemptEnded(AttemptId(request_id, 1), AttemptOutcome.FINISHED)
    return node.handle(ended)


def mint(node):
    effects = node.handle(KeyRequested('t', 'hotel-desk'))
    return find(effects, AnswerKey)[0].key


class TestNewCalls:
    """What a stopping node answers to calls that arrive."""

    def run_with_callers(self, node, seconds):
        """Send a call every second, each of which takes ``CALL_S``."""
        refusals = []
        for number in range(round(seconds)):
            effects = call(node, f'r{number}')
            refusals.extend(find(effects, RefuseCall))
            node.run(1)
            finish(node, f'r{number - CALL_S + 1:.0f}')
            if find(node.effects, StopProcess):
                break
        return refusals

    def test_callers_that_keep_coming_do_not_prevent_the_exit(self):
        """Guards against a stop that never ends while calls arrive."""
        node = Node(document=write_document())
        call(node, 'first')
        finish(node, 'first')
        node.handle(StopRequested())
        refusals = self.run_with_callers(node, 60)
        assert find(node.effects, StopProcess)
        assert node.elapsed_s <= STOP_WAIT_S + HANDOVER_S + CALL_S + 1
        assert refusals
        for one in refusals:
            assert one.refusal.code is RefusalCode.STOPPING
            assert one.refusal.verdict is Verdict.NOT_RUN
            assert one.refusal.status == 503
            assert one.refusal.retry_after_s == 1

    def test_calls_are_taken_until_the_balancer_has_noticed(self):
        """Guards against refusing calls that can still be served."""
        node = Node(document=write_document())
        node.handle(StopRequested())
        node.run(STOP_WAIT_S - 0.5)
        assert find(call(node, 'r1'), Dispatch)


class TestKeysAtTheEnd:
    """What calls with idempotency keys get once no call is taken any more."""

    @pytest.fixture
    def ended(self):
        """Return a node that has ended, and its used and its unused key."""
        node = Node(document=write_document())
        used, unused = mint(node), mint(node)
        assert find(call(node, 'r1', key=used), Dispatch)
        finish(node, 'r1')
        node.handle(StopRequested())
        node.run(STOP_WAIT_S + HANDOVER_S + 1)
        assert find(node.effects, StopProcess)
        return node, used, unused

    def test_used_key_is_not_reported_as_not_run(self, ended):
        """Guards against a caller that books twice after a false verdict."""
        node, used, unused = ended
        refusal = find(call(node, 'r2', key=used), RefuseCall)[0].refusal
        assert refusal.code is RefusalCode.ALREADY_RAN
        assert refusal.verdict is Verdict.RAN
        refusal = find(call(node, 'r3', key=unused), RefuseCall)[0].refusal
        assert refusal.verdict is Verdict.NOT_RUN

    def test_key_of_a_peer_is_not_reported_as_not_run(self, ended):
        """Guards against a false verdict on a key that a peer knows."""
        node, _, _ = ended
        foreign = mint(Node('b', write_document(), seed=2))
        refusal = find(call(node, 'r2', key=foreign), RefuseCall)[0].refusal
        assert refusal.code is RefusalCode.STOPPING
        assert refusal.verdict is Verdict.MAY_HAVE_RUN
        assert refusal.retry_after_s == 1

    def test_refused_key_can_be_used_again(self):
        """Guards against a key in use after a refusal that ran nothing."""
        node = Node(document=write_document())
        key = mint(node)
        assert find(call(node, 'long'), Dispatch)
        node.handle(StopRequested())
        node.run(STOP_WAIT_S + HANDOVER_S + 1)
        for request_id in ('r1', 'r2'):
            effects = call(node, request_id, key=key)
            refusal = find(effects, RefuseCall)[0].refusal
            assert refusal.code is RefusalCode.STOPPING
            assert refusal.verdict is Verdict.NOT_RUN


class TestExit:
    """What an exit answers to calls that are still in progress."""

    def end(self, node):
        effects = node.handle(ExitRequested())
        return {
            one.request_id: one.refusal for one in find(effects, RefuseCall)
        }, effects

    def test_calls_in_progress_get_a_whole_answer(self):
        """Guards against calls that an exit ends without an answer."""
        node = Node(document=write_document())
        assert find(call(node, 'sent'), Dispatch)
        assert find(call(node, 'retried'), Dispatch)
        node.handle(
            AttemptEnded(AttemptId('retried', 1), AttemptOutcome.REFUSED)
        )
        node.core.call_coordinator.placement_blocked_until_s = at(
            60
        ).monotonic_s
        call(node, 'queued')
        refusals, _ = self.end(node)
        assert set(refusals) == {'sent', 'retried', 'queued'}
        sent = refusals['sent']
        assert sent.code is RefusalCode.ANSWER_INCOMPLETE
        assert (sent.status, sent.verdict) == (502, Verdict.MAY_HAVE_RUN)
        for name in ('retried', 'queued'):
            assert refusals[name].code is RefusalCode.STOPPING
            assert refusals[name].verdict is Verdict.NOT_RUN
            assert refusals[name].retry_after_s == 1

    def test_report_counts_each_kind(self):
        """Guards against a log that hides calls that the exit ended."""
        nodes, network = make_fleet(2, write_document())
        network.run(3)
        node = nodes[0]
        mint(node)
        network.partitioned = {nodes[1].name}
        call(node, 'sent')
        finish(node, 'sent')
        network.transmit(node, node.handle(StopRequested()))
        logged = find(node.effects, LogEvent)[-1]
        assert logged.name == 'stop_requested'
        network.run(STOP_WAIT_S + 1)
        assert find(call(node, 'late'), Dispatch)
        node.core.call_coordinator.placement_blocked_until_s = at(
            60
        ).monotonic_s
        call(node, 'queued')
        network.run(HANDOVER_S)
        call(node, 'refused')
        self.end(node)
        report = describe_stop(node.core, at(node.elapsed_s))
        assert float(report.pop('took_s')) == pytest.approx(
            STOP_WAIT_S + HANDOVER_S + 1
        )
        assert report == {
            'refused': '1',
            'ended_unsent': '1',
            'ended_sent': '1',
            'unreleased': '0',
            'unadopted': '1',
        }

    def test_nothing_stays_held_at_targets(self):
        """Guards against streams that run on for callers that were cut off."""
        node = Node(document=write_document())
        effects = call(node, 'r1', model=True, service='writer')
        assert find(effects, Dispatch)
        _, effects = self.end(node)
        assert find(effects, CancelAttempt)
        assert not node.core.parts.groups.list_unreleased()

    def test_later_calls_are_refused(self):
        """Guards against calls that are taken while the process ends."""
        node = Node(document=write_document())
        self.end(node)
        refusal = find(call(node, 'r1'), RefuseCall)[0].refusal
        assert refusal.code is RefusalCode.STOPPING


class TestCallsInProgress:
    """What a planned stop waits for."""

    def wait(self, node):
        """Let more time pass than the stop takes without calls."""
        node.handle(StopRequested())
        node.run(STOP_WAIT_S + HANDOVER_S + 1)
        assert not find(node.effects, StopProcess)

    def test_queued_call_is_served(self):
        """Guards against an exit that forgets calls without a target."""
        node = Node(document=write_document())
        coordinator = node.core.call_coordinator
        coordinator.placement_blocked_until_s = at(20).monotonic_s
        assert not find(call(node, 'r1'), Dispatch)
        self.wait(node)
        assert find(node.run(7), Dispatch)
        assert find(finish(node, 'r1'), FinishCall)
        node.run(1)
        assert find(node.effects, StopProcess)

    def test_call_between_two_attempts_is_served(self):
        """Guards against an exit that forgets calls that wait for a retry."""
        node = Node(document=write_document())
        assert find(call(node, 'r1'), Dispatch)
        node.handle(AttemptEnded(AttemptId('r1', 1), AttemptOutcome.REFUSED))
        node.handle(StopRequested())
        retried = find(node.run(STOP_WAIT_S + 1), Dispatch)
        assert retried[0].attempt.number == 2
        assert not find(node.effects, StopProcess)

    def test_call_without_an_answer_ends_at_its_deadline(self):
        """Guards against an exit that leaves a call without an answer."""
        node = Node(document=write_document())
        assert find(call(node, 'r1'), Dispatch)
        self.wait(node)
        effects = node.run(LONGEST_LIMIT_S)
        refusal = find(effects, RefuseCall)[0].refusal
        assert refusal.code is RefusalCode.DEADLINE_PASSED
        assert refusal.verdict is Verdict.MAY_HAVE_RUN
        names = [type(one) for one in effects]
        assert names.index(RefuseCall) < names.index(StopProcess)

    def test_reservations_are_released_before_the_exit(self):
        """Guards against reservations of an instance that is gone."""
        node = Node(document=write_document())
        groups = node.core.parts.groups
        release = groups._releases.begin(
            'w0', 'w0:1', 'tag', at(40).wall_s, at(0)
        )
        self.wait(node)
        node.handle(HoldingReleased('w0', release.tag, succeeded=True))
        node.run(1)
        assert find(node.effects, StopProcess)

    def test_repeated_request_does_not_begin_another_stop(self):
        """Guards against a second signal that prolongs a stop."""
        node = Node(document=write_document())
        node.handle(StopRequested())
        node.run(STOP_WAIT_S - 1)
        node.handle(StopRequested())
        node.run(1.5)
        assert find(node.effects, StopProcess)

    def test_node_without_a_document_ends(self):
        """Guards against a stop that waits for a document."""
        node = Node()
        node.handle(StopRequested())
        refusal = find(call(node, 'r1'), RefuseCall)[0].refusal
        assert refusal.verdict is Verdict.NOT_RUN
        node.run(STOP_WAIT_S + 0.5)
        assert find(node.effects, StopProcess)


class TestStopLimit:
    """A stop whose time is limited, as the platform kills late processes."""

    LIMIT_S = 5.0

    def test_calls_that_are_left_get_a_whole_answer(self):
        """Guards against calls that the platform's kill cuts off."""
        node = Node(document=write_document())
        node.core.stop_limit_s = self.LIMIT_S
        assert find(call(node, 'sent'), Dispatch)
        coordinator = node.core.call_coordinator
        coordinator.placement_blocked_until_s = at(60).monotonic_s
        call(node, 'queued')
        node.handle(StopRequested())
        assert not find(node.run(self.LIMIT_S - 0.2), RefuseCall)
        effects = node.run(0.5)
        refusals = {
            one.request_id: one.refusal for one in find(effects, RefuseCall)
        }
        assert refusals['sent'].code is RefusalCode.ANSWER_INCOMPLETE
        assert refusals['sent'].verdict is Verdict.MAY_HAVE_RUN
        assert refusals['queued'].code is RefusalCode.STOPPING
        assert refusals['queued'].verdict is Verdict.NOT_RUN
        assert find(effects, StopProcess)
        report = describe_stop(node.core, at(node.elapsed_s))
        assert report['ended_sent'] == report['ended_unsent'] == '1'

    def test_calls_are_taken_only_until_the_balancer_has_noticed(self):
        """Guards against taking calls that the limit is likely to end."""
        node = Node(document=write_document())
        node.core.stop_limit_s = self.LIMIT_S
        assert find(call(node, 'long'), Dispatch)
        node.handle(StopRequested())
        node.run(STOP_WAIT_S - 0.5)
        assert find(call(node, 'r1'), Dispatch)
        node.run(1)
        refusal = find(call(node, 'r2'), RefuseCall)[0].refusal
        assert refusal.code is RefusalCode.STOPPING

    def test_reservations_do_not_prolong_a_limited_stop(self):
        """Guards against an engine that holds up the exit until a kill."""
        node = Node(document=write_document())
        node.core.stop_limit_s = self.LIMIT_S
        groups = node.core.parts.groups
        groups._releases.begin('w0', 'w0:1', 'tag', at(90).wall_s, at(0))
        node.handle(StopRequested())
        assert not find(node.run(self.LIMIT_S - 0.2), StopProcess)
        assert find(node.run(0.5), StopProcess)
        report = describe_stop(node.core, at(node.elapsed_s))
        assert report['unreleased'] == '1'
