"""Runs the unit classes and the behave features and counts both.

The tests that KNOWN-RED.txt names are counted apart: they are printed, and
only they may fail. A listed test that passes fails the run, so that the list
stays short.
"""

import json
import pathlib
import subprocess
import sys
import tempfile
import xml.etree.ElementTree as ElementTree

from attrs import define, field

ROOT = pathlib.Path(__file__).parents[1]
PASSED = 'passed'


@define
class Tally:
    """Names of the tests that passed and that failed."""

    passed: set[str] = field(factory=set)
    failed: set[str] = field(factory=set)

    def note(self, name: str, succeeded: bool) -> None:
        """Take one test."""
        (self.passed if succeeded else self.failed).add(name)


def run_units(folder: pathlib.Path, tally: Tally) -> None:
    """Run the unit classes with pytest."""
    report = folder / 'units.xml'
    command = [
        sys.executable,
        '-m',
        'pytest',
        '-n',
        '6',
        f'--junitxml={report}',
    ]
    code = subprocess.run(command, cwd=ROOT, check=False).returncode
    if not report.exists():
        tally.note(f'pytest ended with {code}', succeeded=False)
        return
    cases = list(ElementTree.parse(report).iter('testcase'))
    for case in cases:
        name = f'{case.get("classname")}.{case.get("name")}'
        bad = case.find('failure') is not None or case.find('error') is not None
        if case.find('skipped') is None:
            tally.note(name, not bad)
    if code not in {0, 1} or not cases:
        tally.note(f'pytest ended with {code}', succeeded=False)


def run_features(folder: pathlib.Path, tally: Tally) -> None:
    """Run the features with behave."""
    report = folder / 'features.json'
    command = [
        sys.executable,
        '-m',
        'behave',
        '--format=json',
        f'--outfile={report}',
        '--format=progress',
        '--no-capture',
        'features',
    ]
    code = subprocess.run(command, cwd=ROOT, check=False).returncode
    features = json.loads(report.read_text() or '[]') if report.exists() else []
    before = len(tally.passed) + len(tally.failed)
    for feature in features:
        for element in feature.get('elements', ()):
            if element['type'] == 'background':
                continue
            name = f'{feature["name"]}: {element["name"]}'
            tally.note(name, element.get('status') == PASSED)
    counted = len(tally.passed) + len(tally.failed) - before
    if code not in {0, 1} or not counted:
        tally.note(f'behave ended with {code}', succeeded=False)


def read_known_red() -> set[str]:
    """Return the names of tests that are known to fail."""
    lines = (ROOT / 'KNOWN-RED.txt').read_text().splitlines()
    return {
        line.removeprefix('test:').strip()
        for line in lines
        if line.startswith('test:')
    }


def main() -> int:
    """Run everything; return an exit code."""
    tally = Tally()
    with tempfile.TemporaryDirectory() as folder:
        run_units(pathlib.Path(folder), tally)
        run_features(pathlib.Path(folder), tally)
    known = read_known_red()
    for name in sorted(tally.failed):
        label = 'known red' if name in known else 'FAILED'
        print(f'{label}: {name}')
    stale = known - tally.failed
    for name in sorted(stale):
        print(f'FAILED: KNOWN-RED.txt names a test that did not fail: {name}')
    failed = (tally.failed - known) | stale
    print(f'{len(tally.passed - stale)} passed, {len(failed)} failed')
    return int(bool(failed))


if __name__ == '__main__':
    sys.exit(main())
