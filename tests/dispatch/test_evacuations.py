"""Tests of what instances know of evacuated failure domains."""

from attrs import define, field
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.dispatch.samples import make_record
from trefoilhinge.dispatch.evacuation_codec import (
    describe_evacuations,
    parse_evacuations,
)
from trefoilhinge.dispatch.evacuations import (
    MAXIMUM_MARKS,
    DomainMark,
    EvacuationTable,
)
from trefoilhinge.dispatch.targets import TargetDirectory

ERA = 10**15
STEPS_TO_KNOW = 4  # a lost announcement, and a hop over another instance


def make_mark(revision, domain='a', *, is_evacuated=True):
    return DomainMark(domain, is_evacuated, revision)


@define
class Instance:
    """What one instance knows, and whom it reaches."""

    table: EvacuationTable = field(factory=EvacuationTable)
    revision: int | None = None
    is_cut: bool = False


@define
class Network:
    """A store and instances; each step is one interval of repetitions."""

    instances: list
    items: dict = field(factory=dict)
    changes: list = field(factory=list)
    copy: tuple = (0, {})
    revision: int = 1
    era: int = 0
    compacted: int = 0
    is_store_down: bool = False
    loses_next: bool = False
    stood: int = 0
    now_s: float = 0

    def put(self):
        self.revision += 1
        self.items['a'] = self.era * ERA + self.revision
        self.changes.append(make_mark(self.items['a']))

    def remove(self):
        if self.items.pop('a', None) is not None:
            self.revision += 1
            revision = self.era * ERA + self.revision
            self.changes.append(make_mark(revision, is_evacuated=False))

    def keep_copy(self):
        self.copy = (self.revision, dict(self.items))

    def restore(self):
        """Lose what came after the copy; its items are of the new era."""
        self.era += 1
        self.revision = self.copy[0] or 1
        self.items = {
            name: self.era * ERA + revision % ERA
            for name, revision in self.copy[1].items()
        }
        self.changes = []
        self.compacted = self.era * ERA + self.revision

    def compact(self):
        self.changes = []
        self.compacted = self.era * ERA + self.revision

    def restart(self, number):
        """Start an instance anew; it serves once it has a list."""
        self.instances[number] = Instance(is_cut=self.instances[number].is_cut)

    def step(self):
        self.now_s += 1.25
        self.stood = self.stood + 1 if self.items else 0
        for instance in self.instances:
            if not (self.is_store_down or instance.is_cut):
                self._read(instance)
        is_lost, self.loses_next = self.loses_next, False
        for sender in self.instances if not is_lost else ():
            for receiver in self.instances:
                self._tell(sender, receiver)

    def is_serving(self, instance):
        return instance.revision is not None

    def _read(self, instance):
        revision = self.era * ERA + self.revision
        known = instance.revision
        if known is None or known < self.compacted:
            marks = [make_mark(one) for one in self.items.values()]
            instance.table.apply_complete(marks, revision, self.now_s)
        else:
            for mark in self.changes:
                if mark.revision > known:
                    instance.table.apply(mark, self.now_s)
            instance.table.record_read(revision)
        instance.revision = revision

    def _tell(self, sender, receiver):
        if not self.is_serving(sender):
            return
        for mark in sender.table.list_repeated(self.now_s):
            receiver.table.apply(mark, self.now_s)
        reads_store = not (receiver.is_cut or self.is_store_down)
        if not reads_store and (receiver.revision or 0) < sender.revision:
            described = describe_evacuations(sender.table)
            receiver.table.apply_complete(
                *parse_evacuations(described), self.now_s
            )
            receiver.revision = sender.revision


EVENTS = st.one_of(
    st.sampled_from(
        ['put', 'remove', 'keep_copy', 'restore', 'compact', 'store', 'lose']
    ).map(lambda name: (name, 0)),
    st.tuples(st.sampled_from(['restart', 'cut']), st.integers(0, 3)),
)


def play(network, name, number):
    """Play one event; a cut and an outage of the store end with the next."""
    if name == 'store':
        network.is_store_down = not network.is_store_down
    elif name == 'lose':
        network.loses_next = True
    elif name == 'cut':
        instance = network.instances[number]
        instance.is_cut = not instance.is_cut
    elif name == 'restart':
        network.restart(number)
    elif name in {'put', 'remove'} and network.is_store_down:
        return  # the store acknowledges no change
    else:
        getattr(network, name)()


class TestEvidence:
    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.lists(st.tuples(EVENTS, st.integers(0, 5)), max_size=14))
    def test_no_serving_instance_misses_a_mark(self, events):
        """Guards against calls to an evacuated domain.

        The store is away or cut off, forgets its history or is restored, and
        instances start anew. Whoever serves knows of a mark in time while any
        instance reads the store, and all agree with the store in the end.
        """
        network = Network([Instance() for _ in range(4)])
        for (name, number), steps in events:
            play(network, name, number)
            for _ in range(steps):
                network.step()
                can_know = not network.is_store_down and not all(
                    one.is_cut for one in network.instances
                )
                if not can_know:
                    network.stood = 0
                if network.stood >= STEPS_TO_KNOW:
                    assert all(
                        one.table.is_evacuated('a')
                        for one in network.instances
                        if network.is_serving(one)
                    )
        network.is_store_down = False
        network.instances[0].is_cut = False
        for _ in range(STEPS_TO_KNOW):
            network.step()
        for instance in network.instances:
            assert network.is_serving(instance)
            assert instance.table.is_evacuated('a') == ('a' in network.items)


class TestEvacuationTable:
    def test_peer_that_has_seen_less_overrules_nothing(self):
        """Guards against a late announcement after a removal."""
        table = EvacuationTable()
        assert table.apply(make_mark(5), 0)
        assert table.apply(make_mark(7, is_evacuated=False), 1)
        assert not table.apply(make_mark(5), 2)
        assert table.apply_complete([make_mark(5)], 6, 3) == []
        assert not table.is_evacuated('a')
        assert table.apply(make_mark(9), 4)

    def test_old_mark_does_not_return_to_an_instance_with_a_later_list(self):
        """Guards against a domain that stays unused.

        An instance that started after the removal has no record of it.
        """
        table = EvacuationTable()
        table.apply_complete([], 8, 0)
        assert not table.apply(make_mark(5), 1)
        assert table.apply(make_mark(9), 2)

    def test_older_list_does_not_remove_a_later_mark(self):
        table = EvacuationTable()
        table.apply(make_mark(9), 0)
        assert table.apply_complete([], 8, 1) == []
        assert table.is_evacuated('a')

    def test_removals_are_repeated_for_a_time_and_marks_while_they_stand(self):
        table = EvacuationTable()
        table.apply(make_mark(2, 'a'), 0)
        table.apply(make_mark(3, 'b'), 0)
        table.apply(make_mark(4, 'b', is_evacuated=False), 0)
        assert [one.domain for one in table.list_repeated(30)] == ['a', 'b']
        assert [one.domain for one in table.list_repeated(600)] == ['a']

    def test_standing_marks_outlive_removals_in_a_full_table(self):
        """Guards against unbounded state, and against a mark that is lost."""
        table = EvacuationTable()
        table.apply(make_mark(1, 'kept'), 0)
        for number in range(2 * MAXIMUM_MARKS):
            table.apply(make_mark(2, f'd{number}'), 1 + number)
            removal = make_mark(3, f'd{number}', is_evacuated=False)
            table.apply(removal, 1 + number)
        assert len(table.list_known()) == MAXIMUM_MARKS
        assert table.is_evacuated('kept')


class TestTargets:
    def test_targets_of_evacuated_domains_do_not_serve(self):
        directory = TargetDirectory()
        for number, domain in enumerate('aab'):
            record = make_record(f't0{number}', failure_domain=domain)
            directory.apply_record(record)
        directory.evacuations.apply(make_mark(5), 0)
        serving = directory.list_serving('model')
        assert [one.name for one in serving] == ['t02']
        assert len(directory.list_ready('model')) == 3
