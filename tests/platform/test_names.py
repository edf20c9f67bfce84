"""Tests that the platform's names are confined to its adapter."""

import pathlib
import re

CODE = pathlib.Path(__file__).parents[2] / 'trefoilhinge'
NAMES = re.compile(
    r'X-Server-Seal|X-Expect-Replica|X-Helpers|X-Token-Count|X-Tenant|Api-Key'
    r'|At-Server|Server-Limit|kv-key|kv-range|kv-watch|sloMs|timeoutMs|gapAimMs|apiKeys'
    r'|coldLeftMs|holdMs|retrySlack|internalPorts',
    re.IGNORECASE,
)


class TestNames:
    def test_no_other_package_uses_the_platforms_names(self):
        found = [
            f'{file.relative_to(CODE)}: {match.group()}'
            for file in CODE.rglob('*.py')
            if 'platform' not in file.relative_to(CODE).parts
            for match in NAMES.finditer(file.read_text())
        ]
        assert found == []

    def test_adapter_is_small(self):
        lines = sum(
            len(file.read_text().splitlines())
            for file in (CODE / 'platform').glob('*.py')
        )
        assert lines < 800
