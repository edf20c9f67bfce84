import pytest

from trefoilhinge.core.effects import ReadDocument
from trefoilhinge.targets.platform_client import HttpPlatformClient


class UnusedPool:
    def request(self, *positional, **named):
        pytest.fail('a client without a URL sent a request')


class TestUnsetUrls:
    def test_no_request_is_sent(self):
        client = HttpPlatformClient('', '', UnusedPool())
        assert client.read_document(ReadDocument(0, 0)).text is None
        assert client.read_instances().instances is None
