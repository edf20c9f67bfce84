"""Instances, targets and a store in simulated time, without a network."""

import itertools

from attrs import define, evolve, field

from tests.dispatch.samples import make_record
from trefoilhinge.dispatch.outages import StoreOutages
from trefoilhinge.dispatch.targets import TargetDirectory

STEP_S = 0.5
INTERVAL_S = 1.0  # between two registrations of a target
EXPIRY_S = 3 * INTERVAL_S


@define
class Target:
    """A target that registers itself in the store."""

    name: str
    state: str = 'ready'
    is_cut: bool = False
    registered_s: float = 0
    sequence: int = 0


@define
class Instance:
    """What one instance knows."""

    directory: TargetDirectory = field(
        factory=lambda: TargetDirectory(outages=StoreOutages(INTERVAL_S))
    )
    revision: int = 0
    is_cut: bool = False

    def list_used(self):
        """Return the names of the targets that it uses."""
        return [one.name for one in self.directory.list_serving('model')]


@define
class Network:
    """A store with its targets and instances."""

    targets: list = field(factory=list)
    instances: list = field(factory=list)
    entries: dict = field(factory=dict)
    changes: list = field(factory=list)
    now_s: float = 0
    is_store_down: bool = False

    @property
    def revision(self):
        return len(self.changes)

    def step(self, seconds):
        """Let time pass."""
        for _ in range(round(seconds / STEP_S)):
            self.now_s += STEP_S
            for target in self.targets:
                self._register(target)
            for instance in self.instances:
                self._read(instance)

    def drain(self, number):
        """Let a target say that it leaves."""
        self.targets[number].state = 'draining'

    def leave(self, number):
        """Let a target leave without a word; its entry is removed."""
        target = self.targets[number]
        target.state = 'left'
        self._remove(target.name)

    def restart(self, number):
        """Let an instance start anew, with what the others tell it."""
        instance = Instance()
        self.instances[number] = instance
        others = [one for one in self.instances if one is not instance]
        for other in others:
            for record, departure in other.directory.list_departed():
                instance.directory.mark_reported(
                    record.incarnation, departure.revision
                )
        self._take_list(instance, others)

    def _register(self, target):
        entry = self.entries.get(target.name)
        is_due = self.now_s - target.registered_s >= INTERVAL_S
        can_write = not (self.is_store_down or target.is_cut)
        if target.state != 'left' and is_due and can_write:
            target.registered_s = self.now_s
            target.sequence += 1
            is_leaving = target.state == 'draining'
            if entry is None or entry.is_leaving != is_leaving:
                self._write(target, is_leaving)
        elif entry and self.now_s - target.registered_s > EXPIRY_S:
            self._remove(target.name)

    def _write(self, target, is_leaving):
        record = make_record(
            target.name,
            is_leaving=is_leaving,
            sequence=target.sequence,
            revision=self.revision + 1,
        )
        self.entries[target.name] = record
        self.changes.append((target.name, record))

    def _remove(self, name):
        if self.entries.pop(name, None) is not None:
            self.changes.append((name, None))

    def _read(self, instance):
        directory = instance.directory
        if self.is_store_down or instance.is_cut:
            directory.outages.mark_unreachable(self.now_s)
            self._take_list(instance, self.instances)
        else:
            directory.outages.mark_reachable(self.now_s)
            if instance.revision:
                self._watch(instance)
            else:
                self._list(instance)
            instance.revision = directory.revision = self.revision
        directory.expire_missing(self.now_s)

    def _watch(self, instance):
        changes = itertools.islice(self.changes, instance.revision, None)
        for number, (name, record) in enumerate(changes, instance.revision + 1):
            self._apply(instance, name, record, number)

    def _list(self, instance):
        for record in self.entries.values():
            self._apply(instance, record.name, record, self.revision)
        for name in tuple(instance.directory.records):
            if name not in self.entries:
                self._apply(instance, name, None, self.revision)

    def _apply(self, instance, name, record, revision):
        directory = instance.directory
        if record is None:
            gone = directory.mark_removed(name, self.now_s, revision)
        else:
            gone = record if directory.apply_record(record) else None
        if gone is None:
            return
        for other in self.instances:
            if other is not instance:
                other.directory.mark_reported(gone.incarnation, revision)

    def _take_list(self, instance, others):
        """Take the targets of a peer that has read more of the store."""
        directory = instance.directory
        source = max(others, key=lambda one: one.directory.revision)
        if source.directory.revision <= directory.revision:
            return
        revision = source.directory.revision
        records = source.directory.records
        for name in set(directory.records) - set(records):
            directory.mark_removed(name, self.now_s, revision)
        for record in records.values():
            directory.apply_record(evolve(record, is_leaving=False))
            if record.incarnation in source.directory.departed:
                directory.mark_reported(record.incarnation, record.revision)
        directory.revision = revision


def make_network(targets=3, instances=3):
    """Return a network in which all know each other."""
    network = Network(
        [Target(f't0{number}') for number in range(targets)],
        [Instance() for _ in range(instances)],
    )
    network.step(5)
    return network
