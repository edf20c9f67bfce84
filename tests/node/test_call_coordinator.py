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

FIRST = AttemptId('r1', 1)


def send(service='writer', **options):
    node = Node(document=write_document())
    options = {'model': service == 'writer', 'service': service, **options}
    assert find(node.call(**options), Dispatch)
    return node


def answer(node, state, offset=0):
    return node.tell(StreamAnswered(FIRST, state, offset))


class TestBrokenStreams:
    def test_broken_stream_is_resumed_from_what_was_taken(self):
        node = send(idempotent=True)
        ended = AttemptEnded(FIRST, AttemptOutcome.BROKEN, relayed=3)
        assert find(node.tell(ended), QueryStream)
        effects = answer(node, StreamState.RUNNING, 3)
        assert find(effects, ResumeStream)[0].offset == 3

    def test_resumption_without_progress_is_not_repeated_at_once(self):
        node = send(idempotent=True)
        ended = AttemptEnded(FIRST, AttemptOutcome.BROKEN, relayed=3)
        node.tell(ended)
        answer(node, StreamState.RUNNING, 3)
        assert not find(node.tell(ended), QueryStream)
        assert len(find(node.wait(2), QueryStream)) == 1

    @pytest.mark.parametrize(
        'outcome',
        [AttemptOutcome.NOT_SENT, AttemptOutcome.REFUSED],
    )
    def test_failed_resumption_does_not_prove_that_nothing_ran(self, outcome):
        node = send(idempotent=False)
        node.tell(AttemptEnded(FIRST, AttemptOutcome.BROKEN))
        answer(node, StreamState.RUNNING, 1)
        effects = node.tell(AttemptEnded(FIRST, outcome))
        effects += node.wait(70)
        assert not find(effects, Dispatch)
        refusal = find(effects, RefuseCall)[0].refusal
        assert refusal.verdict is Verdict.MAY_HAVE_RUN

    def test_tokens_that_were_passed_on_forbid_another_run(self):
        node = send(idempotent=True)
        node.tell(AttemptEnded(FIRST, AttemptOutcome.BROKEN, relayed=3))
        answer(node, StreamState.RUNNING, 9)
        effects = node.tell(AttemptEnded(FIRST, AttemptOutcome.ERRORED))
        refusal = find(effects, RefuseCall)[0].refusal
        assert refusal.code is RefusalCode.ANSWER_INCOMPLETE
        assert refusal.verdict is Verdict.MAY_HAVE_RUN

    @pytest.mark.parametrize(
        'state',
        [StreamState.UNKNOWN, StreamState.NEVER_STARTED],
    )
    def test_lost_stream_is_sent_again_only_if_it_may_be(self, state):
        node = send(idempotent=True)
        node.tell(AttemptSilent(FIRST, 0))
        effects = answer(node, state)
        assert find(effects, CancelAttempt)
        assert find(node.wait(1), Dispatch)[0].attempt.number == 2
        node = send(idempotent=False)
        node.tell(AttemptSilent(FIRST, 0))
        effects = answer(node, state) + node.wait(70)
        assert not find(effects, Dispatch)
        refusal = find(effects, RefuseCall)[0].refusal
        assert refusal.verdict is Verdict.MAY_HAVE_RUN


class TestSilence:
    def test_quiet_stream_keeps_its_connection(self):
        node = send(idempotent=True)
        node.tell(AttemptSilent(FIRST, 0))
        assert not find(answer(node, StreamState.RUNNING, 0), ResumeStream)
        assert find(node.tell(AttemptSilent(FIRST, 0)), QueryStream)

    def test_stream_that_moved_on_is_resumed(self):
        node = send(idempotent=True)
        node.tell(AttemptSilent(FIRST, 2))
        effects = answer(node, StreamState.RUNNING, 5)
        assert find(effects, ResumeStream)[0].offset == 2

    def test_one_question_is_open_at_a_time(self):
        node = send(idempotent=True)
        node.tell(AttemptSilent(FIRST, 0))
        assert not find(node.tell(AttemptSilent(FIRST, 0)), QueryStream)

    def test_lost_question_is_asked_again(self):
        node = send(idempotent=True)
        node.tell(AttemptSilent(FIRST, 0))
        assert find(node.wait(6), QueryStream)

    def test_late_answer_to_a_question_changes_nothing(self):
        node = send(idempotent=True)
        node.tell(AttemptSilent(FIRST, 0))
        answer(node, StreamState.UNKNOWN)
        assert not find(answer(node, StreamState.UNKNOWN), RefuseCall)
        assert not find(answer(node, StreamState.RUNNING, 4), ResumeStream)

    def test_whole_answer_counts_however_late_it_comes(self):
        node = send(idempotent=True)
        node.tell(AttemptSilent(FIRST, 0))
        answer(node, StreamState.UNKNOWN)
        effects = node.tell(AttemptEnded(FIRST, AttemptOutcome.FINISHED))
        assert find(effects, FinishCall)
        assert not find(node.wait(5), Dispatch)


class TestNotRepeatable:
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
    def test_call_is_sent_again_only_on_proof(self, outcome, again):
        node = send('desk', idempotent=False)
        effects = node.tell(AttemptEnded(FIRST, outcome)) + node.wait(2)
        assert bool(find(effects, Dispatch)) is again
        if not again:
            refusal = find(effects, RefuseCall)[0].refusal
            assert refusal.verdict is Verdict.MAY_HAVE_RUN

    def test_call_that_is_given_up_is_answered_at_once(self):
        node = send('desk', idempotent=False)
        effects = node.tell(AttemptEnded(FIRST, AttemptOutcome.ERRORED))
        refusal = find(effects, RefuseCall)[0].refusal
        assert refusal.retry_after_s == 1

    def test_verdict_counts_every_attempt(self):
        node = send('desk', idempotent=True)
        node.tell(AttemptEnded(FIRST, AttemptOutcome.BROKEN))
        node.wait(2)
        effects = []
        for number in (2, 3, 4):
            attempt = AttemptId('r1', number)
            ended = AttemptEnded(attempt, AttemptOutcome.REFUSED)
            effects = node.tell(ended)
            node.wait(4)
        refusal = find(effects, RefuseCall)[0].refusal
        assert refusal.verdict is Verdict.MAY_HAVE_RUN


class TestPauses:
    def test_nothing_is_placed_right_after_a_pause(self):
        node = Node(document=write_document())
        node.wait(1)
        node.elapsed_s += 30
        assert not find(node.call(model=True, service='writer'), Dispatch)
        assert find(node.wait(1), Dispatch)
