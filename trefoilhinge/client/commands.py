"""The ``trefoilhinge`` command.

Each method only notes what to run: it runs after the whole line was read, so
that a flag which is misspelt stops the command before it does anything.
"""

import inspect
import sys
from collections.abc import Callable

import fire
from attrs import define

from trefoilhinge.client import documents, settings
from trefoilhinge.client.arguments import (
    quote_arguments,
    read_choice,
    read_count,
    read_minutes,
    read_switch,
    wants_help,
)
from trefoilhinge.client.beliefs import print_beliefs
from trefoilhinge.client.exits import EXIT_DONE, EXIT_INVALID
from trefoilhinge.client.fleets import StatusSource
from trefoilhinge.client.gateway_settings import print_gateway_settings
from trefoilhinge.client.status import print_status
from trefoilhinge.client.stories import print_story
from trefoilhinge.console.commands import run_console
from trefoilhinge.demo.commands import run_demo
from trefoilhinge.entry.commands import run_entry
from trefoilhinge.exceptions import TrefoilhingeError
from trefoilhinge.faults.commands import (
    DEFAULT_PAIRS,
    FaultRequest,
    run_faults,
)
from trefoilhinge.gateway.daemon import run_gateway
from trefoilhinge.measure.commands import print_measure, read_options
from trefoilhinge.measure.growth import print_growth
from trefoilhinge.measure.placements import print_placements
from trefoilhinge.soak.commands import make_request, print_soak

# Commands whose flags are the settings, which their help lists.
_TAKE_SETTINGS = frozenset(('entry', 'check-settings', 'check_settings'))


@define
class _Chosen:
    """What the line asked for; nothing before it was read."""

    job: Callable[[], int | None] = lambda: EXIT_DONE


@define
class Commands:
    """Serving layer between callers and shared model engines.

    Exit codes: 0 all is well; 1 the command found something that needs an
    operator; 2 a file, a flag or a setting is wrong, or nothing answered.
    """

    _chosen: _Chosen

    def entry(self, **flags: str) -> None:
        """Run an entry instance; its flags are the settings.

        Every setting may also stand in the environment. ``trefoilhinge
        check-settings --help`` lists them.
        """
        self._chosen.job = lambda: run_entry(
            settings.load_checked_settings(flags)
        )

    def check_settings(self, **flags: str) -> None:
        """List the settings in force, each with its source, and check them.

        Secrets are masked. Exits with 2 if a check finds an error.
        """
        self._chosen.job = lambda: settings.check_settings(flags)

    def check(
        self,
        file: str,
        format: str = 'text',  # noqa: A002
    ) -> None:
        """Check a document; each problem is a line.

        Exits with 2 if the document is invalid or cannot be read.

        :param file: file with the document.
        :param format: ``text`` or ``json``.
        """
        self._chosen.job = lambda: documents.check_document(file, format)

    def diff(
        self,
        old: str,
        new: str,
        format: str = 'text',  # noqa: A002
    ) -> None:
        """Tell in words what a new document changes.

        Exits with 2 if one of them is invalid or cannot be read.

        :param old: file with the document before.
        :param new: file with the document after.
        :param format: ``text`` or ``json``.
        """
        self._chosen.job = lambda: documents.compare_documents(old, new, format)

    def make_key(self) -> None:
        """Make an API key, and the entry that the document holds for it."""
        self._chosen.job = documents.print_new_key

    def console(
        self,
        listen: str = '127.0.0.1:8480',
        document: str = '',
        status: str = '',
        authorities: str = '',
    ) -> None:
        """Serve the forms that edit a document.

        :param listen: IP number and port to serve at.
        :param document: file with a document to begin with.
        :param status: URLs of instances to show, separated by commas.
        :param authorities: file with the authorities of their TLS, PEM.
        """
        source = StatusSource(status, authorities)
        self._chosen.job = lambda: run_console(listen, document, source)

    def status(
        self,
        urls: str,
        format: str = 'text',  # noqa: A002
        authorities: str = '',
    ) -> None:
        """Show what instances are doing, what is wrong first.

        Exits with 1 if something is wrong and with 2 if an instance cannot
        be reached.

        :param urls: URLs of peer listeners, separated by commas.
        :param format: ``text`` or ``json``.
        :param authorities: file with the authorities of TLS, PEM.
        """
        self._chosen.job = lambda: print_status(urls, format, authorities)

    def beliefs(self, urls: str) -> None:
        """Show what gateway instances believe, and where they differ.

        Exits with 1 if they differ and with 2 if one cannot be read.

        :param urls: URLs of control addresses, separated by commas.
        """
        self._chosen.job = lambda: print_beliefs(urls)

    def explain(self, request: str, *files: str) -> None:
        """Tell the story of one request from the logs of many instances.

        The first line is its cause. Exits with 1 if no line names it.

        :param request: identifier of the request, as in its lines.
        :param files: files with the instances' log lines.
        """
        self._chosen.job = lambda: print_story(str(request), files)

    def check_gateway(self, file: str) -> None:
        """Show the gateway's settings as the platform's file gives them.

        Exits with 2 if the file cannot be read.

        :param file: settings file that the platform wrote.
        """
        self._chosen.job = lambda: print_gateway_settings(file)

    def gateway(self) -> None:
        """Run an instance on the users' platform.

        Its settings file is named by the platform in the environment.
        """
        self._chosen.job = run_gateway

    def measure(self, **options: str) -> None:
        """Measure routing policies on simulated time.

        Flags: --deployment, --policy, --seed, --minutes, --faults, --load,
        --long-weight, --format and --report. Without --policy the default
        and every baseline are measured on the same arrivals. With --slopes
        the costs that grow with size are measured instead, as JSON; with
        --placements, where the gateway places prompts on engines that work in
        passes.
        """
        if 'placements' in options:
            self._chosen.job = print_placements
            return
        if 'slopes' in options:
            deployment = options.get('deployment', 'kandy')
            self._chosen.job = lambda: print_growth(deployment)
            return
        asked = read_options(options)
        self._chosen.job = lambda: print_measure(asked)

    def soak(
        self,
        seed: str = '0',
        minutes: str = '0.5',
        seeds: str = '1',
        folder: str = '',
        instances: str = '4',
    ) -> None:
        """Run real instances beside stand-ins, with faults from outside.

        Exits with 1 if an invariant is violated.

        :param seed: first seed; each has its own faults.
        :param minutes: minutes of traffic for each seed.
        :param seeds: how many seeds to run, one after the other.
        :param folder: where logs and settings go; empty makes a new one.
        :param instances: processes of the system.
        """
        request = make_request(
            read_count(seed, 'seed'),
            read_minutes(minutes),
            folder,
            read_count(instances, 'instances'),
        )
        count = read_count(seeds, 'seeds')
        self._chosen.job = lambda: print_soak(request, count)

    def demo(self, once: bool = False) -> None:
        """Run a small deployment on loopback with stand-ins.

        :param once: run one workload and exit; not zero if a call was cut
            off or ran twice.
        """
        self._chosen.job = lambda: run_demo(read_switch(once, 'once'))

    def faults(
        self,
        seed: str = '0',
        cell: str = '',
        part: str = '',
        walk: str = '0',
        pairs: str | bool = '0',
        format: str = 'text',  # noqa: A002
    ) -> None:
        """Run every fault at every step of a call.

        Exits with 1 if an invariant is violated.

        :param seed: seed of every random choice.
        :param cell: the only cell to run, as FAULT/STEP; empty runs all.
        :param part: K/N runs the K-th of N parts; empty runs all.
        :param walk: steps of a random walk to run in place of the matrix.
        :param pairs: pairs of faults to run besides; as a switch, the usual.
        :param format: ``text`` or ``json``.
        """
        request = FaultRequest(
            seed=read_count(seed, 'seed'),
            cell=cell,
            part=part,
            walk=read_count(walk, 'walk'),
            pairs=DEFAULT_PAIRS
            if pairs is True
            else read_count(pairs, 'pairs'),
            as_json=read_choice(format, 'format', documents.FORMATS) == 'json',
        )
        self._chosen.job = lambda: run_faults(request)


def run_line(arguments: list[str]) -> int:
    """Run one command line and return its exit code.

    :param arguments: the command and its flags.
    """
    if arguments[:1] and arguments[0] in _TAKE_SETTINGS:
        if wants_help(arguments):
            return settings.print_settings_help()
    if arguments[:1] == ['measure'] and wants_help(arguments):
        # Its flags are read by name, so that the library cannot list them.
        print(inspect.getdoc(Commands.measure))
        return EXIT_DONE
    chosen = _Chosen()
    line = quote_arguments(arguments)
    fire.Fire(Commands(chosen), command=line, name='trefoilhinge')
    return chosen.job() or EXIT_DONE


def main() -> None:
    """Run the command line of this process."""
    try:
        code = run_line(sys.argv[1:])
    except TrefoilhingeError as error:
        print(f'trefoilhinge: {error}', file=sys.stderr)
        code = EXIT_INVALID
    sys.exit(code)
