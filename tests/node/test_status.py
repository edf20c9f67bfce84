import json
import pathlib

import pytest
from attrs import evolve

from trefoilhinge.conf.generated.messages import PeerExchange
from trefoilhinge.conf.messages import encode_exchange
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.events import (
    CallReceived,
    DocumentRead,
    EngineStateRead,
    LoadRead,
    PeerMessageReceived,
    StopRequested,
    TimerFired,
)
from trefoilhinge.core.identifiers import InstanceIdentity
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.core.reports import EngineState, LoadReport, Reservation
from trefoilhinge.node.composition import make_node, make_parts
from trefoilhinge.node.status import describe_node

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
TEXT = (EXAMPLES / 'kandy.json').read_text()
START = Instant(100.0, 1_000_000.0)
EXCHANGE = PeerExchange(
    sender='entry-2',
    incarnation=5,
    sequence=1,
    address='127.0.0.1:9',
    revision=9,
    digest='f' * 64,
)
PROFILE = CallProfile(
    request_id='r1',
    organisation='hotel-desk',
    service='writer',
    model=True,
    path='/v1/completions',
    idempotent=True,
    key='',
    body_digest='',
    prompt_tokens=2500,
    output_tokens=10,
    prefix_digests=(),
    priority=5,
    deadline_s=START.monotonic_s + 60,
    received_s=START.monotonic_s,
)


@pytest.fixture
def node():
    identity = InstanceIdentity('entry-1', 1)
    core = make_node(
        make_parts(identity, '127.0.0.1:1', 'kandy', 'secret', (), 1), 0, 0
    )
    core.identity = identity
    return core


@pytest.fixture
def configured(node):
    node.handle(DocumentRead(TEXT), START)
    return node


def list_codes(node, now=START):
    return [one.code for one in describe_node(node, now).findings]


def report_leaving(node, names):
    for name in names:
        report = LoadReport(name, 0, 0, 0, leaving=True, incarnation=1)
        node.handle(LoadRead(name, report), START)


class TestFindings:
    def test_node_without_document(self, node):
        assert list_codes(node)[0] == 'no_document'

    def test_healthy_node_has_none(self, configured):
        configured.handle(TimerFired(), START)
        assert list_codes(configured) == []

    def test_peer_with_a_newer_revision(self, configured):
        message = PeerMessageReceived('t', encode_exchange(EXCHANGE))
        configured.handle(message, START)
        assert 'revision_behind' in list_codes(configured)

    def test_silent_peer_is_reported_until_it_is_forgotten(self, configured):
        exchange = evolve(EXCHANGE, revision=0, digest='')
        message = PeerMessageReceived('t', encode_exchange(exchange))
        configured.handle(message, START)
        assert 'peer_silent' not in list_codes(configured)
        assert 'peer_silent' in list_codes(configured, START.shift(60))
        assert 'peer_silent' not in list_codes(configured, START.shift(6000))

    def test_stopping_peer_may_be_silent(self, configured):
        exchange = evolve(EXCHANGE, revision=0, digest='', stopping=True)
        message = PeerMessageReceived('t', encode_exchange(exchange))
        configured.handle(message, START)
        assert 'peer_silent' not in list_codes(configured, START.shift(60))

    def test_service_whose_targets_all_leave(self, configured):
        desks = [f'desk-{number}' for number in range(3)]
        report_leaving(configured, desks[:-1])
        assert 'all_targets_leaving' not in list_codes(configured)
        report_leaving(configured, desks[-1:])
        assert 'all_targets_leaving' in list_codes(configured)

    def test_targets_that_do_not_answer(self, configured):
        for _ in range(3):
            configured.handle(LoadRead('writer-0', None), START)
        assert 'targets_unanswering' in list_codes(configured)

    def test_memory_held_past_its_expiry(self, configured):
        reservation = Reservation('tag', 'entry-9:1', 500, START.wall_s + 10)
        state = EngineState(
            'writer-0', 0, 'open-large', 'v1', (), 'both', True, (reservation,)
        )
        configured.handle(EngineStateRead('writer-0', state), START)
        status = describe_node(configured, START)
        assert [(one.name, one.value) for one in status.held_by_owner] == [
            ('entry-9:1', 500)
        ]
        assert 'held_past_expiry' not in list_codes(configured)
        assert 'held_past_expiry' in list_codes(configured, START.shift(60))

    def test_errors_precede_warnings_and_notices(self, node):
        message = PeerMessageReceived('t', encode_exchange(EXCHANGE))
        node.handle(message, START)
        node.handle(StopRequested(), START)
        found = describe_node(node, START.shift(60)).findings
        severities = [one.severity for one in found]
        order = ('error', 'warning', 'notice')
        assert severities == sorted(severities, key=order.index)
        assert set(severities) == set(order)


class TestDescription:
    def test_refusals_are_counted_by_code(self, node):
        for _ in range(2):
            node.handle(CallReceived(PROFILE), START)
        refusals = describe_node(node, START).refusals
        assert [(one.name, one.value) for one in refusals] == [('not_ready', 2)]

    def test_waiting_calls_are_counted_by_length_and_organisation(
        self, configured
    ):
        names = [
            one['name'] for one in json.loads(TEXT)['services'][0]['targets']
        ]
        report_leaving(configured, names)
        configured.handle(CallReceived(PROFILE), START)
        status = describe_node(configured, START)
        assert status.queue_by_prompt_tokens[0].name == '1000'
        assert status.queue_by_organisation[0].name == 'hotel-desk'
        assert status.calls_by_state[0].name == 'queued'
        assert 'queue_old' in list_codes(configured, START.shift(30))

    def test_load_is_reported_with_its_age(self, configured):
        report = LoadReport('writer-0', 70, 2, 9000, age_s=1.5)
        configured.handle(LoadRead('writer-0', report), START)
        target = next(
            one
            for one in describe_node(configured, START.shift(1)).targets
            if one.name == 'writer-0'
        )
        assert target.queued_tokens == 70
        assert target.report_age_s == 2.5

    def test_older_incarnation_does_not_replace_a_newer_one(self, configured):
        for incarnation in (5, 4):
            exchange = evolve(EXCHANGE, incarnation=incarnation)
            message = PeerMessageReceived('t', encode_exchange(exchange))
            configured.handle(message, START)
        assert describe_node(configured, START).peers[0].incarnation == 5
