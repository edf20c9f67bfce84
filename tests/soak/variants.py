"""Broken variants of the gateway: ``python -m tests.soak.variants NAME``."""

import asyncio
import sys

from trefoilhinge.dispatch import (
    caller_bounds,
    held_bytes,
    outages,
    permit_buckets,
)
from trefoilhinge.dispatch.admission import order
from trefoilhinge.dispatch.departures import DepartureTable
from trefoilhinge.dispatch.event_order import EventRun, EventsMisnumbered
from trefoilhinge.dispatch.outages import StoreOutages
from trefoilhinge.dispatch.stops import StopSchedule
from trefoilhinge.dispatch.store_timing import MAXIMUM_WAIT_S, StoreTiming
from trefoilhinge.dispatch.targets import TargetDirectory
from trefoilhinge.dispatch.warmup import cold_targets
from trefoilhinge.gateway import (
    answer_relay,
    attempts,
    daemon,
    held_memory,
    permits,
    quarantine,
    replication,
    state,
    store_client,
)
from trefoilhinge.gateway.caller_connections import CallerConnection
from trefoilhinge.gateway.evacuations import EvacuationNews
from trefoilhinge.gateway.peer_fetcher import PeerFetcher
from trefoilhinge.gateway.planned_stop import PlannedStop
from trefoilhinge.gateway.refusals import Refusal
from trefoilhinge.gateway.reservations import Reservations
from trefoilhinge.gateway.target_connections import AnswerBroken
from trefoilhinge.soak.callers import COMMON_PREFIX


def send_twice():
    """Retry a call whose outcome is unknown."""
    attempts.Attempts._may_retry = lambda self: self.progress.possible_runs < 2


def refuse_falsely():
    """Refuse a call as ``not_run``, whatever its outcome."""

    def make_refusal(progress, reason):
        return Refusal(503, 'targets_full', 'not_run', reason, 0.5)

    attempts.make_exhausted_refusal = make_refusal


def join_torn():
    """End a truncated stream as if it were complete."""
    relay_stream = answer_relay.AnswerRelay.relay_stream

    async def relay_truncated(self, connection, head, on_event, **options):
        try:
            await relay_stream(self, connection, head, on_event, **options)
        except AnswerBroken:
            self._start_answer(head)
            await self._caller.finish()

    answer_relay.AnswerRelay.relay_stream = relay_truncated


def count_events_when_read():
    """Count each event of a read as sent before the next one is checked."""
    select = EventRun.select

    def select_each(self, events):
        selected = []
        for event in events:
            passed = select(self, [event])
            self.record_written(passed)
            selected.extend(passed)
        return selected

    EventRun.select = select_each


def believe_event_numbers():
    """Take events whose numbers do not grow for events that the caller has."""

    def select(self, events):
        selected = []
        position = self._position
        for event in events:
            if event.number is None or position.last_event is None:
                selected.append(event)
            elif event.number > position.last_event + 1:
                raise EventsMisnumbered('a number was skipped')
            elif event.number > position.last_event:
                selected.append(event)
            if event.number is not None and event in selected:
                position.last_event = event.number
        return selected

    EventRun.select = select
    EventRun.record_written = lambda self, events: None
    EventRun.check_end = lambda self: None


def place_latest_first():
    """Place the latest call first, whatever its organisation was given."""
    order._take_turns = lambda calls, usage, now_s: reversed(calls)


def place_alone():
    """Place calls without knowledge of the runs of other instances."""
    record_run = state.GatewayState.record_run

    def record_own(self, run, latest_end_s):
        if run.origin == self.origin:
            record_run(self, run, latest_end_s)

    state.GatewayState.record_run = record_own


def keep_memory():
    """Never release a reservation, but keep renewing it."""
    Reservations.release = lambda self: None


def name_by_prefix():
    """Name reservations after the first characters of callers' identifiers."""

    def make_name(self):
        return f'{COMMON_PREFIX[:16]}-{self.make_run_number()}'

    state.GatewayState.make_reservation_name = make_name


def ignore_changes():
    """Keep the first document and reject all later ones."""
    accept_document = state.GatewayState.accept_document

    def accept_first(self, content, source):
        return self.document is None and accept_document(self, content, source)

    state.GatewayState.accept_document = accept_first


def apply_whole_rate():
    """Let each instance apply the limit of a target as if it were alone."""
    permits.Permits.find_owner = lambda self, target: self._state.settings.ip
    permits.Permits._adjust_rate = lambda self, target, started_ms: None
    permit_buckets.PermitBucket.charge = lambda self, key, now_s: None


def count_cold_alone():
    """Let each instance send a cold target what all may send together."""
    compute_quota = cold_targets.compute_quota

    def compute_whole(incarnation, own_ip, others, requests):
        return compute_quota(incarnation, own_ip, frozenset(), requests)

    cold_targets.compute_quota = compute_whole
    cold_targets.ColdTable.record_run = lambda self, *arguments: None


def count_crashes_alone():
    """Let each instance count the crashes that it sees, and no others."""
    quarantine.Quarantine.apply_message = lambda self, message, ip: None


def hear_no_evacuations():
    """Let each instance hear of evacuations from the store alone."""
    EvacuationNews.apply_message = lambda self, message, ip: None
    replication.apply_reported_evacuations = lambda state, fields: None


def take_cuts_for_outages():
    """Let each cut watch begin an outage, and each outage a time of grace.

    The grace is long, so that it does not end between two cuts on a machine
    that is busy: one instance that sees its end tells all others.
    """
    StoreOutages.minimum_expiry_s = 0
    outages.REREGISTRATION_GRACE_S = 5.0
    expire_missing = TargetDirectory.expire_missing

    def mark_silent(self, since_s, now_s):
        self.mark_unreachable(since_s)
        self.mark_reachable(now_s)

    def expire(self, now_s):
        is_grace = self.outages.find_grace_end(now_s) is not None
        return [] if is_grace else expire_missing(self, now_s)

    StoreOutages.mark_silent = mark_silent
    TargetDirectory.expire_missing = expire


def wait_for_lost_answers():
    """Wait for the answer to a watch until it is given up, and then retry."""
    StoreTiming.find_watch_wait_s = lambda self, unanswered_s: MAXIMUM_WAIT_S
    store_client.OVERDUE_S = 10.0


def ask_only_the_store():
    """Take neither document nor targets from peers."""
    PeerFetcher.start = lambda self: None


def forget_for_good():
    """Never use a target again whose entry was removed."""
    DepartureTable.apply_entry = lambda self, *arguments: None


def exit_before_read():
    """Stop without waiting for callers that still read their answers."""

    async def flush(self):
        await asyncio.sleep(0)

    CallerConnection.flush = flush


def keep_unfinished_calls():
    """Keep calls that cannot end before the exit, which drops them."""

    async def end_calls(self):
        await asyncio.sleep(0)

    PlannedStop._end_calls = end_calls
    StopSchedule.can_finish = lambda self, plan, now_s: not self.is_closing


def stop_at_once():
    """Exit at the order to stop, without draining."""

    async def stop(self, planned):
        await asyncio.sleep(0)
        self._stopped.set()

    daemon.Gateway._stop = stop


def hold_everything():
    """Bound neither what is held for callers nor their connections."""

    def find_none(descriptors, memory_bytes):
        return caller_bounds.ConnectionBounds(100_000, 100_000)

    daemon.find_connection_bounds = find_none
    held_memory.find_held_limits = lambda memory_bytes, has_scarce_room: (
        held_bytes.HeldLimits()
    )


if __name__ == '__main__':
    globals()[sys.argv[1]]()
    daemon.run_gateway()
