"""Tests of limits that the settings file does not name."""

import json
import resource

import pytest

from trefoilhinge.gateway.settings_files import load_settings
from trefoilhinge.platform.settings import SETTINGS_PATH_VARIABLE
from trefoilhinge.platform.standins import formats


@pytest.fixture
def load(tmp_path, monkeypatch):
    """Return a function that loads a settings file with limits."""

    def load_with(limits):
        text = formats.encode_settings(
            'entry', '127.0.0.1', '127.0.0.1:9', [], 12_000
        )
        path = tmp_path / 'settings.json'
        path.write_text(json.dumps({**json.loads(text), 'limits': limits}))
        monkeypatch.setenv(SETTINGS_PATH_VARIABLE, str(path))
        return load_settings()

    return load_with


class TestMachineLimits:
    """Guards against callers without a bound where none is named."""

    @pytest.mark.parametrize('limits', [None, {}, {'linkMbps': 20}])
    def test_machine_bounds_what_the_file_does_not(self, load, limits):
        settings = load(limits)
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        assert settings.memory_bytes > 100_000_000
        assert settings.descriptors == soft

    def test_limits_of_the_file_come_first(self, load):
        settings = load({'memoryMb': 160, 'maxFds': 4100})
        assert settings.memory_bytes == 160 * 1_048_576
        assert settings.descriptors == 4100
