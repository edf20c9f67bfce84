"""Tests of the gateway's settings on the command line."""

import pytest

from trefoilhinge.client.commands import run_command_line
from trefoilhinge.client.gateway_settings import list_settings
from trefoilhinge.exceptions import ImproperlyConfigured
from trefoilhinge.platform.settings import SETTING_SOURCES, decode_settings
from trefoilhinge.platform.standins.formats import encode_settings

TEXT = encode_settings('entry-1', '127.0.0.1', '127.0.0.2:80', ['a:1'], 4000)


class TestGatewaySettings:
    def test_every_setting_has_a_source(self):
        names = {name for name, _ in list_settings(decode_settings(TEXT))}
        assert names == set(SETTING_SOURCES)

    def test_settings_file_is_shown(self, tmp_path, capsys):
        path = tmp_path / 'node.json'
        path.write_text(TEXT)
        assert run_command_line(['check-gateway', str(path)]) == 0
        lines = capsys.readouterr().out.splitlines()
        assert 'entry = 127.0.0.1:4000  (listen.front)' in lines
        assert 'bounds.free_s = 4  (bounds.freeMs)' in lines

    def test_missing_field_is_reported(self, tmp_path):
        path = tmp_path / 'node.json'
        path.write_text(TEXT.replace('"nodeName"', '"other"'))
        with pytest.raises(ImproperlyConfigured, match='nodeName'):
            run_command_line(['check-gateway', str(path)])
