"""Broken nodes prove that each check of the fault matrix can fail."""

from attrs import define, evolve

from trefoilhinge.conf.document import digest_text, parse_document
from trefoilhinge.conf.document_replica import NewestDocumentReplica
from trefoilhinge.core.effects import SendOrder, StopProcess
from trefoilhinge.core.events import StopRequested
from trefoilhinge.core.progress import AnswerProgress
from trefoilhinge.core.sse import StreamEvent
from trefoilhinge.core.verdicts import RefusalCode, Verdict
from trefoilhinge.faults.callers import RequestKind
from trefoilhinge.faults.matrix import Cell, run_cell
from trefoilhinge.node.closing import CallCloser
from trefoilhinge.node.core import NodeCore
from trefoilhinge.retries.interfaces import ClaimGranted, GiveUp, RetryAfter
from trefoilhinge.standins.simulation.fault_points import FaultPoint

SEED = 0


def find_violated_invariants(cell, prepare=None):
    """Run a cell and return the numbers of the invariants that it violates."""
    result = run_cell(cell, SEED, prepare)
    assert not result.reason
    return {one.invariant for one in result.violations}


def replace_part(**makers):
    """Return a function that replaces parts of each node with broken ones.

    :param makers: functions that return the broken part, by name of the part.
    """

    def prepare(world):
        world.alter_parts = lambda parts: evolve(
            parts,
            **{name: make(parts) for name, make in makers.items()},
        )

    return prepare


@define
class PatchedPart:
    """Wrapper of a part of a node that replaces some of its methods."""

    _part: object
    _methods: dict

    def __getattr__(self, name):
        """Return the replaced method, or else the attribute of the part."""
        if name in self._methods:
            return self._methods[name]
        return getattr(self._part, name)


class RevertingReplica(NewestDocumentReplica):
    """Accepts any valid document, even an older revision."""

    def merge_text(self, text, source, now):
        """Accept a document regardless of its revision."""
        self.document = parse_document(text).ok
        self.text = text
        self.revision = self.document.revision
        self.digest = digest_text(text)
        return ()


class ImmediateStopCore(NodeCore):
    """Exits at once when a stop is requested."""

    def handle(self, event, now):
        """Stop without waiting for calls to end."""
        if isinstance(event, StopRequested):
            return [StopProcess()]
        return super().handle(event, now)


class TestBrokenNodes:
    """Each broken node violates the invariant that it is meant to."""

    cut_booking = Cell(
        ('stream-truncated',), FaultPoint.ACCEPTED, RequestKind.BOOKING
    )

    def test_correct_node_violates_nothing(self):
        """The cells of the tests below have no violations with a correct node."""
        cells = (
            Cell(('configuration-reverting',), FaultPoint.DOCUMENT_READ),
            Cell(('answers-crossed',), FaultPoint.MID_STREAM, RequestKind.LONG),
            Cell(('planned-stop',), FaultPoint.MID_STREAM, RequestKind.LONG),
            Cell(('target-leaving',), FaultPoint.ACCEPTED, RequestKind.BOOKING),
            Cell(('engine-dies',), FaultPoint.MID_STREAM, RequestKind.LONG),
        )
        assert {str(one): find_violated_invariants(one) for one in cells} == {
            str(one): set() for one in cells
        }

    def test_correct_node_books_once(self):
        """A booking whose answer was lost is not run at another target."""
        assert not find_violated_invariants(self.cut_booking)

    def test_double_send(self):
        """Retrying a booking whose outcome is unknown runs it twice."""
        retry = {'decide': lambda *_: RetryAfter(0.1)}
        prepare = replace_part(
            retries=lambda parts: PatchedPart(parts.retries, retry),
        )
        assert 5 in find_violated_invariants(self.cut_booking, prepare)

    def test_key_granted_twice(self):
        """A ledger that grants every claim lets a key run twice."""
        grant = {'claim': lambda *_: ClaimGranted()}
        prepare = replace_part(
            ledger=lambda parts: PatchedPart(parts.ledger, grant),
        )
        assert 5 in find_violated_invariants(self.cut_booking, prepare)

    def test_false_refusal(self):
        """A ``not_run`` refusal of a call that ran is detected."""
        false_refusal = GiveUp(Verdict.NOT_RUN, RefusalCode.TARGET_FAILED)
        prepare = replace_part(
            retries=lambda parts: PatchedPart(
                parts.retries,
                {'decide': lambda *_: false_refusal},
            ),
        )

        def prepare_core(world):
            prepare(world)
            world.alter_core = hide_possible_runs

        assert 4 in find_violated_invariants(self.cut_booking, prepare_core)

    def test_reverted_configuration(self):
        """A replica that accepts an older document is detected."""
        prepare = replace_part(
            document_replica=lambda parts: RevertingReplica()
        )
        cell = Cell(('configuration-reverting',), FaultPoint.DOCUMENT_READ)
        assert 8 in find_violated_invariants(cell, prepare)

    def test_wrong_stream_joined(self, monkeypatch):
        """An answer with events of another stream is detected."""
        accept = AnswerProgress.accept

        def accept_any(self, attempt, event):
            claimed = StreamEvent(str(attempt), event.offset, event.data)
            return accept(self, attempt, claimed)

        monkeypatch.setattr(AnswerProgress, 'accept', accept_any)
        cell = Cell(
            ('answers-crossed',), FaultPoint.MID_STREAM, RequestKind.LONG
        )
        assert 3 in find_violated_invariants(cell)

    def test_stop_that_aborts_calls(self):
        """A stop that does not wait for calls is detected."""

        def prepare(world):
            world.alter_core = lambda core: ImmediateStopCore(
                core.parts,
                core.call_coordinator,
                core.exchanger,
                core.start_wait_s,
                core.stop_wait_s,
                core.document_poller,
            )

        cell = Cell(('planned-stop',), FaultPoint.MID_STREAM, RequestKind.LONG)
        assert 7 in find_violated_invariants(cell, prepare)

    def test_leaving_target_used(self):
        """A call sent to a target that is known to leave is detected."""

        def hide_leaving(parts):
            def list_targets(service):
                return tuple(
                    evolve(one, leaving=False)
                    for one in parts.fleet.list_targets(service)
                )

            return PatchedPart(parts.fleet, {'list_targets': list_targets})

        prepare = replace_part(fleet=hide_leaving)
        cell = Cell(
            ('target-leaving',), FaultPoint.ACCEPTED, RequestKind.BOOKING
        )
        assert 6 in find_violated_invariants(cell, prepare)

    def test_order_not_sent(self):
        """Engines that keep an old version are detected."""
        prepare = replace_part(
            reconciler=lambda parts: PatchedPart(
                parts.reconciler,
                {'note_state': lambda *_: ()},
            ),
        )
        cell = Cell(('configuration-down',), FaultPoint.DOCUMENT_READ)
        assert 8 in find_violated_invariants(cell, prepare)

    def test_release_forgotten(self):
        """A group runner that does not release reservations is detected."""
        prepare = replace_part(
            groups=lambda parts: PatchedPart(
                parts.groups,
                {
                    'release': lambda *_: (),
                    'note_state': lambda *_: (),
                },
            ),
        )
        cell = Cell(('caller-gone',), FaultPoint.RESERVED, RequestKind.GROUP)
        assert not find_violated_invariants(cell)
        assert 2 in find_violated_invariants(cell, prepare)

    def test_fence_ignored(self):
        """A reconciler that sends orders without a current fence is detected."""

        def ignore_fences(parts):
            note_state = parts.reconciler.note_state

            def send_old_fence(event, now):
                effects = note_state(event, now)
                return tuple(
                    evolve(one, fence=0) if isinstance(one, SendOrder) else one
                    for one in effects
                )

            return PatchedPart(parts.reconciler, {'note_state': send_old_fence})

        cell = Cell(('configuration-down',), FaultPoint.DOCUMENT_READ)
        assert 8 in find_violated_invariants(
            cell, replace_part(reconciler=ignore_fences)
        )

    def test_call_without_end(self, monkeypatch):
        """A call that does not end at its deadline is detected."""
        monkeypatch.setattr(CallCloser, 'expire', lambda *_: [])
        prepare = replace_part(
            fleet=lambda parts: PatchedPart(
                parts.fleet,
                {'list_targets': lambda service: ()},
            ),
        )
        cell = Cell(
            ('configuration-down',), FaultPoint.RECEIVED, RequestKind.SHORT
        )
        assert 1 in find_violated_invariants(cell, prepare)


def hide_possible_runs(core):
    """Return a node that never reports that an earlier attempt may have run."""
    handle = core.call_coordinator.note_ended

    def note_ended(event, now):
        record = core.call_coordinator.table.find_attempt(event.attempt)
        effects = handle(event, now)
        return [hide_run(one) for one in effects] if record else effects

    core._handlers = {
        kind: note_ended
        if method == core.call_coordinator.note_ended
        else method
        for kind, method in core._handlers.items()
    }
    return core


def hide_run(effect):
    """Return the effect with the verdict of its refusal set to not run."""
    refusal = getattr(effect, 'refusal', None)
    if refusal is None:
        return effect
    return evolve(effect, refusal=evolve(refusal, verdict=Verdict.NOT_RUN))
