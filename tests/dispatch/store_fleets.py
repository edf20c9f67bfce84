"""Simulated fleets whose readers tell what they read in the store.

``python -m tests.dispatch.store_fleets COUNT...`` prints the calls to the store
and the times until changes are in force everywhere.
"""

import bisect
import heapq
import itertools
import random
import sys

from attrs import define, field

from trefoilhinge.dispatch.store_read_codec import StoreRead
from trefoilhinge.dispatch.store_readers import (
    READER_WAIT_S,
    HeardReads,
    ReaderTable,
    ReadReason,
    Role,
)

WATCH_WAIT_S = 2.0
INTERVAL_S = 1.2
SHORT_WAIT_S = 0.1
POLL_S = 0.1
STORE_S = 0.02  # for an answer of the store
STORE_TIMEOUT_S = 1.0
LATENCY_S = (0.0005, 0.005)
DOMAINS = 3
BEGIN_S = 1_000.0
TIMEOUT_S = 13.5  # after which a dead instance is not ranked


@define(eq=False)
class SimulatedInstance:
    """One instance; ``fault`` is killed, frozen or cut (from the store)."""

    fleet: object
    ip: str
    domain: int
    has_readers: bool
    table: ReaderTable = field(init=False)
    heard: HeardReads = field(factory=HeardReads)
    role: Role = Role.independent
    revision: int = 0
    read_s: float = BEGIN_S
    fault: str = ''
    fault_s: float = 0
    share: float = 0
    frozen: list = field(factory=list)
    in_force_s: dict = field(factory=dict)

    def __attrs_post_init__(self):
        self.table = ReaderTable(self.ip)

    def poll(self):
        reason = self._find_reason()
        if reason is None:
            self.fleet.after(POLL_S, self, self.poll)
            return
        is_watch = reason in {ReadReason.watch, ReadReason.stale}
        wait_s = SHORT_WAIT_S
        if is_watch:
            is_reader = self.role is Role.reader
            wait_s = READER_WAIT_S if is_reader else WATCH_WAIT_S
        fleet = self.fleet
        fleet.calls += 1
        if self.fault == 'cut':
            fleet.after(STORE_TIMEOUT_S, self, self.poll)
            return
        answered_s, revision = fleet.answer(self.revision, wait_s)
        fleet.after(
            answered_s + STORE_S - fleet.now_s,
            self,
            lambda: self._finish(revision, self.revision, answered_s, is_watch),
        )

    def hear(self, read, ip):
        now_s = self.fleet.now_s
        self.table.record_told(ip, now_s)
        if self.role is Role.follower:
            _, revision = self.heard.record(read, ip, self.revision, now_s)
            self._apply(revision)

    def _find_reason(self):
        now_s = self.fleet.now_s
        if not self.has_readers:
            return ReadReason.watch
        members = self.fleet.list_members(self.domain)
        self.role = self.table.find_role(members, now_s)
        if self.role is Role.reader:
            return ReadReason.watch
        own_read = self.heard.find_own_read(
            self.revision, self.read_s, INTERVAL_S, self.share
        )
        return own_read.reason if own_read.at_s <= now_s else None

    def _finish(self, revision, before, answered_s, is_watch):
        fleet = self.fleet
        if self.fault == 'cut':
            fleet.after(STORE_TIMEOUT_S, self, self.poll)
            return
        self._apply(revision)
        self.read_s = fleet.now_s
        self.share = fleet.random.random()
        self.heard.record_own(self.revision)
        if self.role is Role.reader:
            age_s = fleet.now_s - answered_s - STORE_S
            fleet.tell(self, StoreRead(before, revision, age_s, 0))
        fleet.after(INTERVAL_S if is_watch else 0, self, self.poll)

    def _apply(self, revision):
        for number in range(self.revision, revision):
            self.in_force_s[number] = self.fleet.now_s
        self.revision = max(self.revision, revision)


@define(eq=False)
class StoreFleet:
    """Instances, a store with a change each second, and a lossy network."""

    count: int
    has_readers: bool = True
    loss: float = 0
    seed: int = 1
    now_s: float = BEGIN_S
    calls: int = 0
    changes_s: list = field(factory=list)
    instances: list = field(factory=list)
    random: object = field(init=False)
    _events: list = field(factory=list)
    _order: object = field(factory=itertools.count)

    def __attrs_post_init__(self):
        self.random = random.Random(self.seed)
        for number in range(self.count):
            one = SimulatedInstance(
                self, f'10.0.{number}', number % DOMAINS, self.has_readers
            )
            one.share = self.random.random()
            self.instances.append(one)
            self.after(self.random.uniform(0, 3), one, one.poll)

    def after(self, delay_s, instance, function):
        entry = (self.now_s + delay_s, next(self._order), instance, function)
        heapq.heappush(self._events, entry)

    def run(self, duration_s):
        end_s = self.now_s + duration_s
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, instance, function = heapq.heappop(self._events)
            if instance.fault == 'frozen':
                instance.frozen.append(function)
            elif instance.fault != 'killed':
                function()
        self.now_s = end_s

    def answer(self, revision, wait_s):
        """Return when a watch is answered, and the revision then."""
        if revision < bisect.bisect_right(self.changes_s, self.now_s):
            answered_s = self.now_s
        else:
            answered_s = self.now_s + wait_s
            if revision < len(self.changes_s):
                answered_s = min(answered_s, self.changes_s[revision])
        return answered_s, bisect.bisect_right(self.changes_s, answered_s)

    def tell(self, sender, read):
        for one in self.instances:
            if one is not sender and self.random.random() >= self.loss:
                self.after(
                    self.random.uniform(*LATENCY_S),
                    one,
                    lambda one=one: one.hear(read, sender.ip),
                )

    def list_members(self, domain):
        return [
            one.ip
            for one in self.instances[domain::DOMAINS]
            if one.fault not in {'killed', 'frozen'}
            or self.now_s - one.fault_s < TIMEOUT_S
        ]

    def break_readers(self, fault):
        """Let a fault befall all readers."""
        for one in self.instances:
            if one.role is Role.reader:
                one.fault, one.fault_s = fault, self.now_s

    def thaw(self):
        for one in self.instances:
            if one.fault == 'frozen':
                one.fault = ''
                for function in one.frozen:
                    self.after(0, one, function)
                one.frozen.clear()

    def list_delays_s(self):
        """Return until when each change is in force at all sound instances."""
        sound = [one for one in self.instances if not one.fault]
        return [
            max(one.in_force_s.get(number, self.now_s) for one in sound)
            - change_s
            for number, change_s in enumerate(self.changes_s)
        ]


def run_day(count, loss=0, *, has_readers=True, duration_s=50, seed=1):
    """Run a fleet with a change each second until 4 s before the end."""
    fleet = StoreFleet(count, has_readers, loss, seed)
    fleet.changes_s = [
        BEGIN_S + number + fleet.random.random()
        for number in range(3, duration_s - 4)
    ]
    fleet.run(duration_s)
    return fleet


def measure_loss_of_readers(count, fault, loss=0, seed=1):
    """Return the delay of a change just after a fault of all readers."""
    fleet = StoreFleet(count, loss=loss, seed=seed)
    fault_s = 7 + fleet.random.random() * 2
    fleet.changes_s = [BEGIN_S + 4, BEGIN_S + fault_s + 0.001]
    fleet.run(fault_s)
    fleet.break_readers(fault)
    fleet.run(5)
    return fleet.list_delays_s()[-1]


def main():
    for count in map(int, sys.argv[1:]):
        for has_readers, loss in (
            (False, 0),
            (True, 0),
            (True, 0.01),
            (True, 0.2),
        ):
            fleet = run_day(count, loss, has_readers=has_readers)
            delays_s = sorted(fleet.list_delays_s())
            print(
                f'{count} readers={has_readers} loss={loss}: {fleet.calls} calls,'
                f' in force everywhere after {delays_s[len(delays_s) // 2]:.2f} s'
                f' (median), {delays_s[-1]:.2f} s (most)'
            )
        for fault in ('killed', 'frozen', 'cut'):
            for loss in (0, 0.2):
                worst_s = max(
                    measure_loss_of_readers(count, fault, loss, seed)
                    for seed in range(8)
                )
                print(f'{count} readers {fault}, loss={loss}: {worst_s:.2f} s')


if __name__ == '__main__':
    main()
