"""Tests of the measure command."""

import json

import pytest

from trefoilhinge.exceptions import ImproperlyConfigured
from trefoilhinge.measure.commands import read_options, run_measure

KEYS = {
    'policy',
    'load',
    'short_slowdown_p50',
    'short_slowdown_p95',
    'long_ttft_p95_s',
    'ttft_s',
    'goodput_tokens_per_s',
    'cache_hit_share_of_ideal',
    'refused',
    'admitted_late',
    'ran_twice',
    'limit_overshoot',
}


def run(**options: object) -> dict:
    return json.loads(run_measure(read_options({'format': 'json', **options})))


class TestMeasure:
    def test_json_names_every_policy_and_load(self):
        found = run(deployment='caroni', minutes=0.02, load='0.3,0.5')
        cells = {(cell['policy'], cell['load']) for cell in found['results']}
        assert len(cells) == 12
        assert (found['default_policy'], 0.3) in cells
        assert all(set(cell) >= KEYS for cell in found['results'])

    def test_the_same_seed_gives_the_same_figures(self):
        options = {'policy': 'default', 'minutes': 0.05, 'load': 0.8}
        assert run(**options) == run(**options)
        assert run(**options) != run(**options, seed=2)

    def test_report_embeds_its_charts(self, tmp_path):
        page = tmp_path / 'report.html'
        run(policy='random', minutes=0.02, load=0.3, report=str(page))
        assert page.read_text().count('data:image/png;base64,') == 4

    @pytest.mark.parametrize('fault', ['engine_death', 'partition'])
    def test_faults_lose_no_admitted_request(self, fault):
        found = run(policy='default', minutes=0.3, load=0.3, faults=fault)
        assert found['results'][0]['admitted_late'] == 0
        assert found['results'][0]['ran_twice'] == 0
        assert found['results'][0]['unanswered'] == 0

    @pytest.mark.parametrize(
        'options',
        [
            {'deployment': 'nowhere'},
            {'policy': 'best'},
            {'faults': 'rain'},
            {'minutes': 0},
            {'seed': 'one'},
            {'format': 'xml'},
            {'long_weight': 2},
            {'speed': 3},
        ],
    )
    def test_wrong_options_are_refused(self, options):
        with pytest.raises(ImproperlyConfigured):
            read_options(options)
