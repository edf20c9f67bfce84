import pytest

from trefoilhinge.conf import settings_checks  # noqa: F401
from trefoilhinge.conf.checks import (
    Severity,
    list_checks,
    register,
    require_checks,
    run_checks,
)
from trefoilhinge.conf.settings import list_settings
from trefoilhinge.exceptions import ImproperlyConfigured

VALID = {
    'instance': 'entry-1',
    'failure_domain': 'kandy',
    'configuration_url': 'http://10.0.0.2/document',
    'peer_listen': '10.0.0.1:8471',
}
SECRETS = {
    'TREFOILHINGE_PEER_SECRET': 'x' * 16,
    'TREFOILHINGE_ORDER_TOKEN': 'y' * 16,
}


def run(flags=None, environment=None):
    found = list_settings(
        {**VALID, **(flags or {})},
        {**SECRETS, **(environment or {})},
    )
    return {one.identifier.rpartition('.')[2] for one in run_checks(found)}


class TestChecks:
    def test_valid_settings_pass(self):
        assert run() == set()

    @pytest.mark.parametrize(
        ('identifier', 'flags'),
        [
            ('E001', {'listen': '10.0.0.1:8471'}),
            ('E001', {'listen': '0.0.0.0:8471'}),
            ('E002', {'tls_key': __file__}),
            ('E002', {'tls_certificate': __file__}),
            ('E003', {'tls_authorities': '/nowhere/at/all'}),
            ('E003', {'document_file': '/nowhere/at/all'}),
            ('E004', {'configuration_url': ''}),
            ('E005', {'trace_exporter': 'otlp'}),
            ('E006', {'peer_secret': ''}),
            ('E007', {'peer_listen': '0.0.0.0:8471'}),
            ('E008', {'instance': 'Entry 1'}),
            ('E008', {'failure_domain': 'kandy\n'}),
            ('E009', {'document_file': __file__}),
            ('W001', {'configuration_url': '', 'seeds': '10.0.0.1:1'}),
            ('W002', {'peer_secret': 'short'}),
            ('W003', {'order_token': 'z'}),
            ('W004', {'order_token': 'x' * 16}),
        ],
    )
    def test_each_problem_is_reported(self, identifier, flags):
        assert identifier in run(flags)

    def test_deprecated_setting_is_reported_as_a_warning(self, monkeypatch):
        properties = {
            name: {**schema, 'deprecated': name == 'listen'}
            for name, schema in settings_checks.load_properties().items()
        }
        monkeypatch.setattr(
            settings_checks, 'load_properties', lambda: properties
        )
        assert run() == set()
        assert run({'listen': '10.0.0.1:1'}) == {'W005'}

    def test_errors_prevent_startup_and_warnings_do_not(self):
        with_warning = list_settings({**VALID, 'peer_secret': 'short'}, {})
        identifiers = {one.identifier for one in require_checks(with_warning)}
        assert 'trefoilhinge.W002' in identifiers
        with_error = list_settings({**VALID, 'tls_key': __file__}, SECRETS)
        with pytest.raises(ImproperlyConfigured, match='E002'):
            require_checks(with_error)

    def test_identifiers_are_unique_and_documented(self):
        assert all(one.check.__doc__ and one.hint for one in list_checks())
        assert {one.severity for one in list_checks()} == set(Severity)
        with pytest.raises(ValueError, match='registered'):
            register('trefoilhinge.E001', 'No.')(lambda context: '')
