import pytest

from trefoilhinge.conf.settings import list_settings, load_settings
from trefoilhinge.exceptions import ImproperlyConfigured

REQUIRED = {'instance': 'entry-1', 'failure_domain': 'kandy'}


def load(**flags):
    return load_settings({**REQUIRED, **flags}, {})


class TestSettings:
    def test_flags_override_variables_and_these_override_defaults(self):
        environment = {
            'TREFOILHINGE_LISTEN': '10.0.0.1:1',
            'TREFOILHINGE_START_WAIT_S': '7',
        }
        flags = {**REQUIRED, 'listen': '10.0.0.1:2'}
        found = {one.name: one for one in list_settings(flags, environment)}
        assert found['listen'].value == '10.0.0.1:2'
        assert found['listen'].source == 'flag'
        assert found['start_wait_s'].value == 7.0
        assert found['start_wait_s'].source == 'environment'
        assert found['stop_wait_s'].source == 'default'

    @pytest.mark.parametrize(
        ('name', 'raw', 'value'),
        [
            ('maximum_connections', '12', 12),
            ('maximum_connections', 12.0, 12),
            ('start_wait_s', 3, 3.0),
            ('seeds', '10.0.0.1:1, [fd00::1]:2', ('10.0.0.1:1', '[fd00::1]:2')),
            ('seeds', '[10.0.0.1:1,10.0.0.2:1]', ('10.0.0.1:1', '10.0.0.2:1')),
            ('seeds', ['10.0.0.1:1'], ('10.0.0.1:1',)),
            ('seeds', '[fd00::1]:2', ('[fd00::1]:2',)),
            ('seeds', '', ()),
            ('advertise', '', ''),
            ('peer_secret', '0123', '0123'),
        ],
    )
    def test_values_are_converted(self, name, raw, value):
        assert getattr(load(**{name: raw}), name) == value

    @pytest.mark.parametrize(
        ('name', 'raw', 'instruction'),
        [
            ('maximum_connections', True, 'whole number'),
            ('maximum_connections', 1.5, 'whole number'),
            ('maximum_connections', 'many', 'whole number'),
            ('maximum_connections', 0, '1 or more'),
            ('maximum_connections', 10**400, 'whole number'),
            ('start_wait_s', 'nan', 'number'),
            ('start_wait_s', '1e9', '600 or less'),
            ('start_wait_s', False, 'number'),
            ('listen', '', 'IP address'),
            ('listen', 'localhost:80', 'IP address'),
            ('listen', '10.0.0.1', 'no port'),
            ('listen', '10.0.0.1:0', 'not a port'),
            ('listen', '10.0.0.1:99999', 'not a port'),
            ('listen', 'fd00::1:80', 'written as [fd00::1]'),
            ('listen', 8470, 'string'),
            ('seeds', ['here'], 'no port'),
            ('seeds', 5, 'list'),
            ('configuration_url', 'ftp://x', 'URL'),
            ('configuration_url', 'http://x:y/', 'URL'),
            ('log_level', 'info', 'INFO'),
        ],
    )
    def test_invalid_settings_are_rejected(self, name, raw, instruction):
        with pytest.raises(ImproperlyConfigured, match=name) as caught:
            load(**{name: raw})
        assert instruction in str(caught.value)

    def test_message_names_every_invalid_setting(self):
        with pytest.raises(ImproperlyConfigured) as caught:
            load_settings(
                {'listn': '1', 'start_wait_s': 'x'},
                {'TREFOILHINGE_PEER_SECRETT': 'x'},
            )
        text = str(caught.value)
        assert 'did you mean listen?' in text
        assert 'did you mean peer_secret?' in text
        assert '--start_wait_s' in text
        assert 'instance is missing' in text

    def test_secrets_are_masked(self):
        found = list_settings({**REQUIRED, 'peer_secret': 'hush'}, {})
        assert not any('hush' in str(one.display_value) for one in found)
        with pytest.raises(ImproperlyConfigured) as caught:
            load(peer_secret=12345)
        assert '12345' not in str(caught.value)
