"""Tests of placement by learned costs through an instance."""

import asyncio
import json
import random

import pytest
from attrs import evolve

from tests.dispatch.samples import make_record, make_short
from tests.gateway.documents import make_document, make_settings
from tests.gateway.fleets import run_fleet, run_peers
from tests.gateway.targets import reply, stream
from tests.platform.test_decoding import SETTINGS
from trefoilhinge.dispatch.calls import Call, CallHead, PromptSize
from trefoilhinge.dispatch.estimation.estimates import CallFeatures
from trefoilhinge.dispatch.estimation.group_table import SUMMARY_WEIGHT
from trefoilhinge.dispatch.estimation.samples import (
    OutputSample,
    PrefillSample,
    ServiceSample,
)
from trefoilhinge.dispatch.health import Outcome
from trefoilhinge.dispatch.placement import (
    list_candidates,
    place_plain_call,
    place_prompt,
)
from trefoilhinge.dispatch.placement_requests import PlacementRequest
from trefoilhinge.exceptions import ImproperlyConfigured
from trefoilhinge.gateway.demand.short_calls import (
    DemandReport,
    estimate_unseen,
)
from trefoilhinge.gateway.placement import find_placement, place_call
from trefoilhinge.gateway.settings_files import (
    LEARNED_COSTS_VARIABLE,
    load_settings,
)
from trefoilhinge.gateway.state import GatewayState, make_state
from trefoilhinge.platform.documents import decode_document
from trefoilhinge.platform.settings import SETTINGS_PATH_VARIABLE

NOW_S = 100.0
SIZE = PromptSize(5_000, 4_000, 400)


def make_placing_state(seed=1, size=SIZE, delay_ms=0.5, **fields):
    """Return a state that has learned a lot, its targets and a call.

    It also heard of many short calls that started just now.

    :param size: that of the call, none for a plain one.
    """
    document = make_document()
    delay = {'from': 'a', 'target': 'b', 'delay_ms': delay_ms}
    document['services'][0]['engine']['delays'] = [delay]
    state = make_state(evolve(make_settings(1), **fields))
    state.document = decode_document(json.dumps(document).encode()).ok
    draws = random.Random(seed)
    name, service = ('/stream/', 'model') if size else ('/look/', 'desk')
    for number in range(6):
        record = make_record(
            f't{number:02}',
            failure_domain=draws.choice('ab'),
            service=service,
        )
        state.apply_target(record)
        for _ in range(draws.randrange(9)):
            run_number = state.make_run_number()
            run = make_short(run_number, record.name, NOW_S - draws.random())
            state.loads.record_start(run, NOW_S + 10, NOW_S)
            state.demand.record_start(service, run, NOW_S)
        state.costs.record(PrefillSample(record.name, 15), NOW_S)
        lookup = CallFeatures('look', 'mill')
        state.costs.record(ServiceSample(lookup, record.name, 0.5), NOW_S)
    for _ in range(50):
        features = CallFeatures('stream', '', 5_000, 400, 4_000)
        state.costs.record(OutputSample(features, 3_000), NOW_S)
    route = state.document.find_route('desk.example', f'{name}1')
    head = CallHead(
        b'GET', b'/', 'desk.example', f'{name}1', 'r', None, 5, size, None, ()
    )
    call = Call(head, b'', route, service, None, 99, 105, 105)
    return state, list(state.directory.records.values()), call


@pytest.fixture
def _fixed_time(monkeypatch):
    monkeypatch.setattr(GatewayState, 'get_now_s', lambda _: NOW_S)


@pytest.mark.usefixtures('_fixed_time')
@pytest.mark.parametrize('seed', range(8))
@pytest.mark.parametrize(
    'settings',
    [{}, {'has_scarce_room': True, 'allows_learned_costs': False}],
)
class TestSwitchedOff:
    """Earlier deployments are to be served exactly as before."""

    @pytest.mark.parametrize('prompt_tokens', [5_000, 60_000, 300_000])
    def test_prompts_are_placed_as_before(self, seed, settings, prompt_tokens):
        size = evolve(SIZE, prompt_tokens=prompt_tokens)
        state, records, call = make_placing_state(seed, size, **settings)
        placement = place_call(state, call, records)
        fresh, _, _ = make_placing_state(seed, size)
        engine = state.document.services['model'].engine
        assert placement == place_prompt(
            list_candidates(records, fresh.loads),
            PlacementRequest(engine, call.route, size, NOW_S, 5),
        )

    def test_plain_calls_are_placed_as_before(self, seed, settings):
        state, records, call = make_placing_state(seed, None, **settings)
        placement = place_call(state, call, records)
        expected = place_plain_call(records, state.loads, 'a')
        assert placement.parts[0].target == expected.name


@pytest.mark.usefixtures('_fixed_time')
class TestSwitchedOn:
    @pytest.mark.parametrize(
        'fields', [{'has_scarce_room': True}, {'delay_ms': 3.9}]
    )
    def test_demand_of_all_instances_is_followed(self, fields):
        """Guards against short calls that all go to the same target."""
        state, _, call = make_placing_state(1, **fields)
        before = estimate_unseen(state, call, 6)
        run = make_short(state.make_run_number(), 't00', NOW_S)
        state.record_run(run, NOW_S + 10)
        state.record_run(run, NOW_S + 10)
        after = estimate_unseen(state, call, 6)
        assert after.count > before.count > 0
        assert after.choices == 2

    def test_demand_is_logged_when_it_changes_notably(self, monkeypatch):
        lines = []
        state, _, _ = make_placing_state(1, has_scarce_room=True)
        monkeypatch.setattr(
            type(state.log), 'write', lambda _, event, **__: lines.append(event)
        )
        report = DemandReport(state)
        report.update()
        report.update()
        assert lines == ['short_calls_spread']
        assert state.metrics.gauges['short_calls_per_second'] > 50

    @pytest.mark.parametrize(
        'fields', [{'has_scarce_room': True}, {'delay_ms': 3.9}]
    )
    def test_memory_is_taken_up_for_the_learned_output(self, fields):
        state, records, call = make_placing_state(1, **fields)
        placement = place_call(state, call, records)
        assert placement.parts[0].memory_tokens > 5_000 + 2_000

    def test_retry_avoids_a_target_that_failed_lately(self):
        """Guards against a lookup whose attempts both meet failing targets."""
        state, records, call = make_placing_state(3, None, has_scarce_room=True)
        *failing, healthy = [record.name for record in records]
        for name in failing:
            state.health.record_outcome(name, Outcome.failed, NOW_S)
        placement = find_placement(state, call, {failing[0]})
        assert placement.parts[0].target == healthy


class TestLearning:
    @pytest.mark.parametrize('is_on', [True, False])
    def test_instance_learns_from_its_calls_where_switched_on(self, is_on):
        async def run():
            async with run_fleet(m1=stream(last=20), d1=reply(200)) as fleet:
                fleet.state.settings = evolve(
                    fleet.settings, has_scarce_room=is_on
                )
                for _ in range(12):
                    await fleet.call(
                        X_Token_Count='5000,4000', X_Length_Hint='100'
                    )
                    await fleet.call('/look/1', 'GET')
                costs = fleet.state.costs
                features = CallFeatures('stream', 'mill', 5_000, 100, 4_000)
                return (
                    costs.estimate_output_tokens(features).mean,
                    costs.estimate_service_s(
                        CallFeatures('look', 'mill'), 'd1'
                    ).samples,
                )

        output_tokens, samples = asyncio.run(run())
        assert (output_tokens > 300) is is_on
        assert (samples > 10) is is_on

    def test_new_peer_is_told_before_it_has_read_its_document(self):
        """Guards against a new instance that starts from the hints alone.

        Only the document tells that failure domains are distant.
        """

        async def run():
            document = make_document()
            delay = {'from': 'a', 'target': 'b', 'delay_ms': 3.9}
            document['services'][0]['engine']['delays'] = [delay]
            async with run_fleet(document, m1=stream(last=20)) as fleet:
                for _ in range(12):
                    await fleet.call(
                        X_Token_Count='5000,4000', X_Length_Hint='100'
                    )
                async with run_peers(fleet, 1) as [peer]:
                    features = CallFeatures('stream', 'mill', 5_000, 100, 4_000)
                    await fleet.wait_for(lambda: len(peer.state.costs))
                    estimate = peer.state.costs.estimate_output_tokens(features)
                    assert 1 < estimate.samples <= SUMMARY_WEIGHT
                    assert estimate.mean > 150

        asyncio.run(run())


class TestSetting:
    @pytest.mark.parametrize(('text', 'expected'), [('', True), ('off', False)])
    def test_environment_disables_learned_costs(
        self, monkeypatch, tmp_path, text, expected
    ):
        path = tmp_path / 'settings.json'
        path.write_text(json.dumps(SETTINGS))
        monkeypatch.setenv(SETTINGS_PATH_VARIABLE, str(path))
        monkeypatch.setenv(LEARNED_COSTS_VARIABLE, text)
        assert load_settings().allows_learned_costs is expected

    def test_odd_value_stops_the_start(self, monkeypatch):
        monkeypatch.setenv(SETTINGS_PATH_VARIABLE, 'settings.json')
        monkeypatch.setenv(LEARNED_COSTS_VARIABLE, 'maybe')
        with pytest.raises(ImproperlyConfigured, match='maybe'):
            load_settings()
