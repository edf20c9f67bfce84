import pytest

from tests.node.nodes import Node, find, write_document
from trefoilhinge.core.effects import (
    CancelAttempt,
    Dispatch,
    FinishCall,
    QueryStream,
    RefuseCall,
    ResumeStream,
)
from trefoilhinge.core.events import (
    AttemptEnded,
    AttemptOutcome,
    AttemptSilent,
    StreamAnswered,
)
from trefoilhinge.core.identifiers import AttemptId
from trefoilhinge.core.reports import StreamState
from trefoilhinge.core.verdicts import RefusalCode, Verdict

ATTEMPT = AttemptId('r1', 1)


def send(service='writer', **options):
    node = Node(document=write_document())
    options = {'model': service == 'writer', 'service': service, **options}
    assert find(node.call(**options), Dispatch)
    return node


def answer(node, state, offset=0):
    return node.handle(StreamAnswered(ATTEMPT, state, offset))


class TestBrokenStreams:
    def test_broken_stream_is_resumed_from_last_offset(self):
        node = send(idempotent=True)
        ended = AttemptEnded(ATTEMPT, AttemptOutcome.BROKEN, relayed=3)
        assert find(node.handle(ended), QueryStream)
        effects = answer(node, StreamState.RUNNING, 3)
        assert find(effects, ResumeStream)[0].offset == 3

    def test_resumption_without_progress_is_delayed(self):
        node = send(idempotent=True)
        ended = AttemptEnded(ATTEMPT, AttemptOutcome.BROKEN, relayed=3)
        node.handle(ended)
        answer(node, StreamState.RUNNING, 3)
        assert not find(node.handle(ended), QueryStream)
        assert len(find(node.run(2), QueryStream)) == 1

    @pytest.mark.parametrize(
        'outcome',
        [AttemptOutcome.NOT_SENT, AttemptOutcome.REFUSED],
    )
    def test_failed_resumption_does_not_prove_not_run(self, outcome):
        node = send(idempotent=False)
        node.handle(AttemptEnded(ATTEMPT, AttemptOutcome.BROKEN))
        answer(node, StreamState.RUNNING, 1)
        effects = node.handle(AttemptEnded(ATTEMPT, outcome))
        effects += node.run(70)
        assert not find(effects, Dispatch)
        refusal = find(effects, RefuseCall)[0].refusal
        assert refusal.verdict is Verdict.MAY_HAVE_RUN

    def test_relayed_tokens_prevent_another_attempt(self):
        node = send(idempotent=True)
        node.handle(AttemptEnded(ATTEMPT, AttemptOutcome.BROKEN, relayed=3))
        answer(node, StreamState.RUNNING, 9)
        effects = node.handle(AttemptEnded(ATTEMPT, AttemptOutcome.ERRORED))
        refusal = find(effects, RefuseCall)[0].refusal
        assert refusal.code is RefusalCode.ANSWER_INCOMPLETE
        assert refusal.verdict is Verdict.MAY_HAVE_RUN

    @pytest.mark.parametrize(
        'state',
        [StreamState.UNKNOWN, StreamState.NEVER_STARTED],
    )
    def test_lost_stream_is_retried_only_if_idempotent(self, state):
        node = send(idempotent=True)
        node.handle(AttemptSilent(ATTEMPT, 0))
        effects = answer(node, state)
        assert find(effects, CancelAttempt)
        assert find(node.run(1), Dispatch)[0].attempt.number == 2
        node = send(idempotent=False)
        node.handle(AttemptSilent(ATTEMPT, 0))
        effects = answer(node, state) + node.run(70)
        assert not find(effects, Dispatch)
        refusal = find(effects, RefuseCall)[0].refusal
        assert refusal.verdict is Verdict.MAY_HAVE_RUN


class TestSilence:
    def test_stream_without_progress_keeps_its_connection(self):
        node = send(idempotent=True)
        node.handle(AttemptSilent(ATTEMPT, 0))
        assert not find(answer(node, StreamState.RUNNING, 0), ResumeStream)
        assert find(node.handle(AttemptSilent(ATTEMPT, 0)), QueryStream)

    def test_stream_with_progress_is_resumed(self):
        node = send(idempotent=True)
        node.handle(AttemptSilent(ATTEMPT, 2))
        effects = answer(node, StreamState.RUNNING, 5)
        assert find(effects, ResumeStream)[0].offset == 2

    def test_only_one_query_is_pending(self):
        node = send(idempotent=True)
        node.handle(AttemptSilent(ATTEMPT, 0))
        assert not find(node.handle(AttemptSilent(ATTEMPT, 0)), QueryStream)

    def test_lost_query_is_repeated(self):
        node = send(idempotent=True)
        node.handle(AttemptSilent(ATTEMPT, 0))
        assert find(node.run(6), QueryStream)

    def test_late_answer_to_a_query_is_ignored(self):
        node = send(idempotent=True)
        node.handle(AttemptSilent(ATTEMPT, 0))
        answer(node, StreamState.UNKNOWN)
        assert not find(answer(node, StreamState.UNKNOWN), RefuseCall)
        assert not find(answer(node, StreamState.RUNNING, 4), ResumeStream)

    def test_late_complete_answer_finishes_the_call(self):
        node = send(idempotent=True)
        node.handle(AttemptSilent(ATTEMPT, 0))
        answer(node, StreamState.UNKNOWN)
        effects = node.handle(AttemptEnded(ATTEMPT, AttemptOutcome.FINISHED))
        assert find(effects, FinishCall)
        assert not find(node.run(5), Dispatch)


class TestNonIdempotentCalls:
    @pytest.mark.parametrize(
        ('outcome', 'again'),
        [
            (AttemptOutcome.NOT_SENT, True),
            (AttemptOutcome.REFUSED, True),
            (AttemptOutcome.LEASE_LOST, True),
            (AttemptOutcome.BROKEN, False),
            (AttemptOutcome.ERRORED, False),
            (AttemptOutcome.MISMATCHED, False),
        ],
    )
    def test_call_is_retried_only_if_proven_not_run(self, outcome, again):
        node = send('desk', idempotent=False)
        effects = node.handle(AttemptEnded(ATTEMPT, outcome)) + node.run(2)
        assert bool(find(effects, Dispatch)) is again
        if not again:
            refusal = find(effects, RefuseCall)[0].refusal
            assert refusal.verdict is Verdict.MAY_HAVE_RUN

    def test_call_that_is_not_retried_is_refused_at_once(self):
        node = send('desk', idempotent=False)
        effects = node.handle(AttemptEnded(ATTEMPT, AttemptOutcome.ERRORED))
        refusal = find(effects, RefuseCall)[0].refusal
        assert refusal.retry_after_s == 1

    def test_verdict_covers_every_attempt(self):
        node = send('desk', idempotent=True)
        node.handle(AttemptEnded(ATTEMPT, AttemptOutcome.BROKEN))
        node.run(2)
        effects = []
        for number in (2, 3, 4):
            attempt = AttemptId('r1', number)
            ended = AttemptEnded(attempt, AttemptOutcome.REFUSED)
            effects = node.handle(ended)
            node.run(4)
        refusal = find(effects, RefuseCall)[0].refusal
        assert refusal.verdict is Verdict.MAY_HAVE_RUN


class TestPauses:
    def test_no_call_is_placed_right_after_a_pause(self):
        node = Node(document=write_document())
        node.run(1)
        node.elapsed_s += 30
        assert not find(node.call(model=True, service='writer'), Dispatch)
        assert find(node.run(1), Dispatch)
