"""The ``trefoilhinge`` command.

Each method only selects the action to run. The action runs after the whole
command line has been parsed, so that a misspelt flag stops the command before
it has any effect.
"""

import inspect
import sys
from collections.abc import Callable

import fire
from attrs import define

from trefoilhinge.client import documents, settings
from trefoilhinge.client.arguments import (
    has_help_flag,
    parse_choice,
    parse_count,
    parse_minutes,
    parse_switch,
    quote_arguments,
)
from trefoilhinge.client.beliefs import print_beliefs
from trefoilhinge.client.exit_codes import EXIT_ERROR, EXIT_SUCCESS
from trefoilhinge.client.gateway_settings import print_gateway_settings
from trefoilhinge.client.request_timeline import print_timeline
from trefoilhinge.client.status import print_status
from trefoilhinge.client.status_client import StatusSource
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
from trefoilhinge.measure.placements import print_placements
from trefoilhinge.measure.scaling import print_scaling
from trefoilhinge.soak.commands import make_request, print_soak

# Commands whose flags are the settings; their help lists the settings.
_SETTINGS_COMMANDS = frozenset(('entry', 'check-settings', 'check_settings'))


@define
class _SelectedCommand:
    """Action that the command line selects; does nothing by default."""

    action: Callable[[], int | None] = lambda: EXIT_SUCCESS


@define
class Commands:
    """Serving layer between callers and shared model engines.

    Exit codes: 0 success; 1 the command found a problem that requires operator
    action; 2 a file, a flag or a setting is invalid, or an instance is
    unreachable.
    """

    _selected: _SelectedCommand

    def entry(self, **flags: str) -> None:
        """Run an entry instance; its flags are the settings.

        Every setting may also be given as an environment variable.
        ``trefoilhinge check-settings --help`` lists them.
        """
        self._selected.action = lambda: run_entry(
            settings.load_checked_settings(flags)
        )

    def check_settings(self, **flags: str) -> None:
        """List the effective settings with their sources, and check them.

        Secrets are masked. Exits with 2 if a check finds an error.
        """
        self._selected.action = lambda: settings.check_settings(flags)

    def check(
        self,
        file: str,
        format: str = 'text',  # noqa: A002
        against: str = '',
        settings: str = '',
    ) -> None:
        """Check a document and print each problem on a line.

        The document is of the product's or of the platform's form. Exits with
        2 if it is invalid or cannot be read, and with 1 if an error is found
        in it. Warnings alone exit with 0.

        :param file: path of the document.
        :param format: ``text`` or ``json``.
        :param against: path of the document in force; what differs from it is
            printed after the findings.
        :param settings: settings file that the platform wrote for a gateway
            instance, with which the document is checked as well.
        """
        self._selected.action = lambda: documents.check_document(
            file, format, str(against), str(settings)
        )

    def diff(
        self,
        old: str,
        new: str,
        format: str = 'text',  # noqa: A002
    ) -> None:
        """Describe the differences between two documents.

        Exits with 2 if one of them is invalid or cannot be read.

        :param old: path of the document before the change.
        :param new: path of the document after the change.
        :param format: ``text`` or ``json``.
        """
        self._selected.action = lambda: documents.compare_documents(
            old, new, format
        )

    def make_key(self) -> None:
        """Generate an API key and its entry for the document."""
        self._selected.action = documents.print_new_key

    def console(
        self,
        listen: str = '127.0.0.1:8480',
        document: str = '',
        status: str = '',
        authorities: str = '',
    ) -> None:
        """Serve the web forms that edit a document.

        :param listen: IP address and port to listen on.
        :param document: path of the document to edit.
        :param status: URLs of the instances whose status is shown, separated
            by commas.
        :param authorities: PEM file with the CA certificates for their TLS.
        """
        source = StatusSource(status, authorities)
        self._selected.action = lambda: run_console(listen, document, source)

    def status(
        self,
        urls: str,
        format: str = 'text',  # noqa: A002
        authorities: str = '',
    ) -> None:
        """Show the status of instances, problems first.

        Exits with 1 if an instance reports an error or a warning and with 2
        if an instance is unreachable.

        :param urls: URLs of peer listeners, separated by commas.
        :param format: ``text`` or ``json``.
        :param authorities: PEM file with the CA certificates for TLS.
        """
        self._selected.action = lambda: print_status(urls, format, authorities)

    def beliefs(self, urls: str) -> None:
        """Show the state that gateway instances hold, and its differences.

        Exits with 1 if they differ and with 2 if one cannot be read.

        :param urls: URLs of control addresses, separated by commas.
        """
        self._selected.action = lambda: print_beliefs(urls)

    def explain(self, request: str, *files: str) -> None:
        """Show the timeline of one request from the logs of all instances.

        The first line states how the request ended and why. Exits with 1 if
        no log line contains the request.

        :param request: identifier of the request, as in the logs.
        :param files: log files of the instances.
        """
        self._selected.action = lambda: print_timeline(str(request), files)

    def check_gateway(self, file: str) -> None:
        """Show the gateway's settings as decoded from the platform's file.

        Exits with 2 if the file cannot be read.

        :param file: settings file that the platform wrote.
        """
        self._selected.action = lambda: print_gateway_settings(file)

    def gateway(self) -> None:
        """Run a gateway instance on the users' platform.

        The platform passes the path of its settings file in the environment.
        """
        self._selected.action = run_gateway

    def measure(self, **options: str) -> None:
        """Measure routing policies in simulated time.

        Flags: --deployment, --policy, --seed, --minutes, --faults, --load,
        --long-weight, --format and --report. Without --policy the default
        and every baseline are measured on the same arrivals. With --slopes
        the costs that grow with size are measured instead, as JSON; with
        --placements, where the gateway places prompts on engines that run
        batched passes.
        """
        if 'placements' in options:
            self._selected.action = print_placements
            return
        if 'slopes' in options:
            deployment = options.get('deployment', 'kandy')
            self._selected.action = lambda: print_scaling(deployment)
            return
        parsed_options = read_options(options)
        self._selected.action = lambda: print_measure(parsed_options)

    def soak(
        self,
        seed: str = '0',
        minutes: str = '0.5',
        seeds: str = '1',
        folder: str = '',
        instances: str = '4',
        planned: bool = False,
    ) -> None:
        """Run real instances with simulated targets and inject faults.

        Exits with 1 if an invariant is violated.

        :param seed: first seed; each seed has its own faults.
        :param minutes: duration of the traffic for each seed, in minutes.
        :param seeds: number of seeds to run, one after the other.
        :param folder: folder for logs and settings; empty creates a new one.
        :param instances: number of instance processes.
        :param planned: play stops under load and other planned work, and no
            faults.
        """
        request = make_request(
            parse_count(seed, 'seed'),
            parse_minutes(minutes),
            folder,
            parse_count(instances, 'instances'),
            is_planned_only=parse_switch(planned, 'planned'),
        )
        count = parse_count(seeds, 'seeds')
        self._selected.action = lambda: print_soak(request, count)

    def demo(self, once: bool = False) -> None:
        """Run a small deployment with simulated targets on loopback.

        :param once: run one workload and exit; the exit code is not zero if
            a call was cut off or ran twice.
        """
        self._selected.action = lambda: run_demo(parse_switch(once, 'once'))

    def faults(
        self,
        seed: str = '0',
        cell: str = '',
        part: str = '',
        walk: str = '0',
        pairs: str | bool = '0',
        format: str = 'text',  # noqa: A002
    ) -> None:
        """Inject every fault at every fault point of a call.

        Exits with 1 if an invariant is violated.

        :param seed: seed of every random choice.
        :param cell: the only cell to run, as FAULT/POINT; empty runs all.
        :param part: K/N runs the K-th of N parts; empty runs all.
        :param walk: steps of a random walk to run instead of the matrix.
        :param pairs: number of cells with two faults, sampled by the seed, to
            run instead of those with one; 0 runs those with one; without a
            value, the default number. Ignored if ``walk`` is set.
        :param format: ``text`` or ``json``.
        """
        request = FaultRequest(
            seed=parse_count(seed, 'seed'),
            cell=cell,
            part=part,
            walk=parse_count(walk, 'walk'),
            pairs=DEFAULT_PAIRS
            if pairs is True
            else parse_count(pairs, 'pairs'),
            as_json=parse_choice(format, 'format', documents.FORMATS) == 'json',
        )
        self._selected.action = lambda: run_faults(request)


def run_command_line(arguments: list[str]) -> int:
    """Run one command line.

    :param arguments: the command, followed by its flags and values.
    :return: exit code.
    """
    if arguments[:1] and arguments[0] in _SETTINGS_COMMANDS:
        if has_help_flag(arguments):
            return settings.print_settings_help()
    if arguments[:1] == ['measure'] and has_help_flag(arguments):
        # Its flags are taken as ``**options``, so Fire cannot list them.
        print(inspect.getdoc(Commands.measure))
        return EXIT_SUCCESS
    selected = _SelectedCommand()
    command_line = quote_arguments(arguments)
    fire.Fire(Commands(selected), command=command_line, name='trefoilhinge')
    return selected.action() or EXIT_SUCCESS


def main() -> None:
    """Run the command line of the current process."""
    try:
        code = run_command_line(sys.argv[1:])
    except TrefoilhingeError as error:
        print(f'trefoilhinge: {error}', file=sys.stderr)
        code = EXIT_ERROR
    sys.exit(code)
