"""Every check of the matrix is proved able to fail by a broken node."""

from attrs import define, evolve

from trefoilhinge.conf.document import digest_text, parse_document
from trefoilhinge.conf.document_replica import NewestDocumentReplica
from trefoilhinge.core.effects import SendOrder, StopProcess
from trefoilhinge.core.events import StopRequested
from trefoilhinge.core.progress import AnswerProgress
from trefoilhinge.core.sse import StreamEvent
from trefoilhinge.core.verdicts import RefusalCode, Verdict
from trefoilhinge.faults.callers import Kind
from trefoilhinge.faults.matrix import Cell, run_cell
from trefoilhinge.node.closing import CallCloser
from trefoilhinge.node.core import NodeCore
from trefoilhinge.retries.interfaces import ClaimGranted, GiveUp, RetryAfter
from trefoilhinge.standins.simulation.fault_points import FaultPoint

SEED = 0


def find_promises(cell, prepare=None):
    """Return the numbers of the promises that a cell breaks."""
    result = run_cell(cell, SEED, prepare)
    assert not result.reason
    return {one.promise for one in result.violations}


def replace_part(**makers):
    """Return what replaces parts of each node by broken ones."""

    def prepare(world):
        world.alter_parts = lambda parts: evolve(
            parts,
            **{name: make(parts) for name, make in makers.items()},
        )

    return prepare


@define
class Altered:
    """A part of which some methods are replaced."""

    _part: object
    _methods: dict

    def __getattr__(self, name):
        """Return the replaced method, or else the part's own."""
        if name in self._methods:
            return self._methods[name]
        return getattr(self._part, name)


class RevertingKeeper(NewestDocumentReplica):
    """Takes whatever valid document it is offered last."""

    def merge_text(self, text, source, now):
        """Accept any document."""
        self.document = parse_document(text).ok
        self.text = text
        self.revision = self.document.revision
        self.digest = digest_text(text)
        return ()


class HastyCore(NodeCore):
    """Stops at once when it is asked to stop."""

    def handle(self, event, now):
        """Stop without waiting for calls."""
        if isinstance(event, StopRequested):
            return [StopProcess()]
        return super().handle(event, now)


class TestBrokenNodes:
    """Each broken node breaks the promise that it is meant to."""

    cut_booking = Cell(('stream-truncated',), FaultPoint.ACCEPTED, Kind.BOOKING)

    def test_sound_node_breaks_nothing(self):
        """The cells below hold with the node as it is."""
        cells = (
            Cell(('configuration-reverting',), FaultPoint.DOCUMENT_READ),
            Cell(('answers-crossed',), FaultPoint.MID_STREAM, Kind.LONG),
            Cell(('planned-stop',), FaultPoint.MID_STREAM, Kind.LONG),
            Cell(('target-leaving',), FaultPoint.ACCEPTED, Kind.BOOKING),
            Cell(('engine-dies',), FaultPoint.MID_STREAM, Kind.LONG),
        )
        assert {str(one): find_promises(one) for one in cells} == {
            str(one): set() for one in cells
        }

    def test_sound_node_books_once(self):
        """A booking whose answer was lost is not run again elsewhere."""
        assert not find_promises(self.cut_booking)

    def test_double_send(self):
        """A send repeated after an unclear failure runs twice."""
        retry = {'decide': lambda *_: RetryAfter(0.1)}
        prepare = replace_part(
            retries=lambda parts: Altered(parts.retries, retry),
        )
        assert 5 in find_promises(self.cut_booking, prepare)

    def test_key_granted_twice(self):
        """A ledger that grants every claim runs a key twice."""
        grant = {'claim': lambda *_: ClaimGranted()}
        prepare = replace_part(
            ledger=lambda parts: Altered(parts.ledger, grant),
        )
        assert 5 in find_promises(self.cut_booking, prepare)

    def test_false_refusal(self):
        """A refusal that says not run after a run is caught."""
        lie = GiveUp(Verdict.NOT_RUN, RefusalCode.TARGET_FAILED)
        prepare = replace_part(
            retries=lambda parts: Altered(
                parts.retries,
                {'decide': lambda *_: lie},
            ),
        )

        def prepare_core(world):
            prepare(world)
            world.alter_core = hide_exposure

        assert 4 in find_promises(self.cut_booking, prepare_core)

    def test_reverted_configuration(self):
        """A replica that accepts an older document is caught."""
        prepare = replace_part(keeper=lambda parts: RevertingKeeper())
        cell = Cell(('configuration-reverting',), FaultPoint.DOCUMENT_READ)
        assert 8 in find_promises(cell, prepare)

    def test_wrong_stream_joined(self, monkeypatch):
        """An answer joined from another stream is caught."""
        take = AnswerProgress.accept

        def take_anything(self, attempt, event):
            claimed = StreamEvent(str(attempt), event.offset, event.data)
            return take(self, attempt, claimed)

        monkeypatch.setattr(AnswerProgress, 'accept', take_anything)
        cell = Cell(('answers-crossed',), FaultPoint.MID_STREAM, Kind.LONG)
        assert 3 in find_promises(cell)

    def test_stop_that_cuts_off(self):
        """A stop that does not wait for calls is caught."""

        def prepare(world):
            world.alter_core = lambda core: HastyCore(
                core.parts,
                core.call_coordinator,
                core.exchanger,
                core.start_wait_s,
                core.stop_wait_s,
                core.document_poller,
            )

        cell = Cell(('planned-stop',), FaultPoint.MID_STREAM, Kind.LONG)
        assert 7 in find_promises(cell, prepare)

    def test_leaving_target_used(self):
        """Work sent to a target that is known to leave is caught."""

        def forget_leaving(parts):
            def list_targets(service):
                return tuple(
                    evolve(one, leaving=False)
                    for one in parts.fleet.list_targets(service)
                )

            return Altered(parts.fleet, {'list_targets': list_targets})

        prepare = replace_part(fleet=forget_leaving)
        cell = Cell(('target-leaving',), FaultPoint.ACCEPTED, Kind.BOOKING)
        assert 6 in find_promises(cell, prepare)

    def test_order_not_sent(self):
        """Engines left on an old version are caught."""
        prepare = replace_part(
            reconciler=lambda parts: Altered(
                parts.reconciler,
                {'note_state': lambda *_: ()},
            ),
        )
        cell = Cell(('configuration-down',), FaultPoint.DOCUMENT_READ)
        assert 8 in find_promises(cell, prepare)

    def test_release_forgotten(self):
        """A runner that forgets to release is caught."""
        prepare = replace_part(
            groups=lambda parts: Altered(
                parts.groups,
                {
                    'release': lambda *_: (),
                    'note_state': lambda *_: (),
                },
            ),
        )
        cell = Cell(('caller-gone',), FaultPoint.RESERVED, Kind.GROUP)
        assert not find_promises(cell)
        assert 2 in find_promises(cell, prepare)

    def test_fence_skipped(self):
        """A reconciler that takes no account of fences is caught."""

        def skip_fences(parts):
            note_state = parts.reconciler.note_state

            def send_old_fence(event, now):
                effects = note_state(event, now)
                return tuple(
                    evolve(one, fence=0) if isinstance(one, SendOrder) else one
                    for one in effects
                )

            return Altered(parts.reconciler, {'note_state': send_old_fence})

        cell = Cell(('configuration-down',), FaultPoint.DOCUMENT_READ)
        assert 8 in find_promises(cell, replace_part(reconciler=skip_fences))

    def test_call_without_end(self, monkeypatch):
        """A call that outlives its time is caught."""
        monkeypatch.setattr(CallCloser, 'expire', lambda *_: [])
        prepare = replace_part(
            fleet=lambda parts: Altered(
                parts.fleet,
                {'list_targets': lambda service: ()},
            ),
        )
        cell = Cell(('configuration-down',), FaultPoint.RECEIVED, Kind.SHORT)
        assert 1 in find_promises(cell, prepare)


def hide_exposure(core):
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
    """Return a refusal that denies the run."""
    refusal = getattr(effect, 'refusal', None)
    if refusal is None:
        return effect
    return evolve(effect, refusal=evolve(refusal, verdict=Verdict.NOT_RUN))
