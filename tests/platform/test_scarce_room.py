"""Tests of the fields that deployments with scarce room or cold targets set."""

import json

import pytest

from tests.gateway.documents import make_document
from tests.platform.test_decoding import SETTINGS
from trefoilhinge.platform import store
from trefoilhinge.platform.documents import decode_document
from trefoilhinge.platform.responses import decode_response_head
from trefoilhinge.platform.settings import decode_settings
from trefoilhinge.platform.standins.formats import encode_target


def decode_entry(**fields):
    entry = json.dumps(encode_target('model', '127.0.0.1:80', **fields))
    return store.decode_target(store.StoreItem('servers/m1', entry.encode(), 7))


class TestSettings:
    def test_deployments_without_the_fields_ask_for_nothing(self):
        """Guards against new behaviour at deployments that did not ask."""
        settings = decode_settings(json.dumps(SETTINGS))
        assert not settings.has_scarce_room
        assert not settings.bounds.evacuate_s
        assert not settings.bounds.cold_ratio

    def test_fields_are_read(self):
        bounds = {
            **SETTINGS['bounds'],
            'coldOver': 1.5,
            'coldSlack': 5,
            'evacuateMs': 5000,
        }
        fields = {
            **SETTINGS,
            'bounds': bounds,
            'contracts': ['base', 'pressure'],
            'limits': {'memoryMb': 200, 'maxFds': 4100},
        }
        settings = decode_settings(json.dumps(fields))
        assert settings.has_scarce_room
        assert settings.bounds.evacuate_s == 5
        assert settings.bounds.cold_slack == 5
        assert settings.memory_bytes == 200 * 1024 * 1024
        assert settings.descriptors == 4100


class TestDocuments:
    @pytest.mark.parametrize('delay_ms', [0.5, 3.9])
    def test_delays_tell_whether_domains_are_distant(self, delay_ms):
        document = make_document()
        delay = {'from': 'a', 'target': 'b', 'delay_ms': delay_ms}
        document['services'][0]['engine']['delays'] = [delay]
        decoded = decode_document(json.dumps(document).encode()).ok
        engine = decoded.services['model'].engine
        assert engine.find_delay_s('b', 'a') == delay_ms / 1000
        assert engine.find_delay_s('a', 'a') == 0
        assert decoded.has_distant_domains is (delay_ms > 2)


class TestColdTargets:
    @pytest.mark.parametrize(
        ('stated', 'cold_s'),
        [(2500, 2.5), (-1, 0), (1e300, 600), ('soon', 0), (True, 0)],
    )
    def test_entry_states_a_duration(self, stated, cold_s):
        """Guards against an odd duration that hides a target's entry."""
        assert decode_entry(coldLeftMs=stated).ok.cold_s == cold_s

    @pytest.mark.parametrize(
        ('stated', 'cold_s'), [(b'1200', 1.2), (b'0', 0), (b'-5', None)]
    )
    def test_answer_states_a_duration(self, stated, cold_s):
        head = decode_response_head(200, [(b'X-Cold-Ms', stated)])
        assert head.cold_s == cold_s

    @pytest.mark.parametrize('slots', [0, True, '8', 2**63])
    def test_entry_with_odd_slots_names_no_target(self, slots):
        assert decode_entry(slots=slots).is_error()
