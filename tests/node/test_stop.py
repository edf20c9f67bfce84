"""Tests of the planned stop of a node on an injected clock."""

from tests.node.nodes import Node, find, write_document
from tests.retries.calls import START_S
from trefoilhinge.core.effects import (
    AnswerKey,
    Dispatch,
    RefuseCall,
    StopProcess,
)
from trefoilhinge.core.events import (
    AttemptEnded,
    AttemptOutcome,
    KeyRequested,
    StopRequested,
)
from trefoilhinge.core.identifiers import AttemptId
from trefoilhinge.core.verdicts import RefusalCode, Verdict

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
