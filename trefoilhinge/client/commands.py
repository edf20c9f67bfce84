"""The ``trefoilhinge`` command."""

import pathlib
import sys

import fire

from trefoilhinge.conf.document import parse_document
from trefoilhinge.conf.settings import Raw, list_settings, load_settings
from trefoilhinge.demo.commands import run_demo
from trefoilhinge.entry.commands import run_entry
from trefoilhinge.exceptions import TrefoilhingeError
from trefoilhinge.measure.commands import read_options, run_measure

EXIT_INVALID = 2


class Commands:
    """Serving layer between callers and shared model engines."""

    def entry(self, **settings: Raw) -> None:
        """Run an entry instance; see check-settings for its flags."""
        run_entry(load_settings(settings))

    def demo(self, once: bool = False) -> None:
        """Run a small deployment on loopback with stand-ins."""
        sys.exit(run_demo(once))

    def measure(self, **options: Raw) -> None:
        """Measure routing policies on simulated time; see docs/measurements.

        Options: --deployment, --policy, --seed, --minutes, --faults, --load,
        --long-weight, --format and --report.
        """
        asked = read_options(options)
        print(run_measure(asked))

    def check(self, file: str) -> None:
        """Check a document; exit 2 and name each problem if it is invalid."""
        text = pathlib.Path(file).read_text(encoding='utf-8')
        parsed = parse_document(text)
        if parsed.is_ok():
            print(f'{file}: revision {parsed.ok.revision} is valid')
            return
        for problem in parsed.error:
            print(f'{file}: {problem}', file=sys.stderr)
        sys.exit(EXIT_INVALID)

    def check_settings(self, **settings: Raw) -> None:
        """List the settings in force and where each comes from."""
        for one in list_settings(settings):
            print(f'{one.name}={one.value!r}  ({one.source})')


def main() -> None:
    """Run the command line."""
    try:
        fire.Fire(Commands, name='trefoilhinge')
    except TrefoilhingeError as error:
        print(f'trefoilhinge: {error}', file=sys.stderr)
        sys.exit(EXIT_INVALID)
