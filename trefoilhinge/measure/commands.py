"""The ``measure`` command."""

import json
import pathlib
from collections.abc import Iterable, Mapping

import cattrs
from attrs import evolve, frozen
from expression import Error, Ok, Result

from trefoilhinge.conf.document import parse_document
from trefoilhinge.conf.settings import RawValue
from trefoilhinge.exceptions import DocumentInvalid, ImproperlyConfigured
from trefoilhinge.measure.cells import CellPlan, run_cell
from trefoilhinge.measure.faults import FaultKind
from trefoilhinge.measure.fleet import DEFAULT_POLICY, list_policies
from trefoilhinge.measure.reports import render_report
from trefoilhinge.measure.results import Measurement
from trefoilhinge.measure.tables import format_json, format_table

# One-way network delay between callers and instances, by deployment.
CLIENT_DELAY_S = {'caroni': 0.001, 'kandy': 0.003}
DEFAULT_LOADS = (0.3, 0.6, 0.8, 1.0, 1.2)
DEFAULT_MINUTES = 1.0
SECONDS_PER_MINUTE = 60
_FLAGS = frozenset(
    (
        'deployment',
        'policy',
        'seed',
        'minutes',
        'faults',
        'load',
        'long_weight',
        'format',
        'report',
    ),
)
EXAMPLES_DIRECTORY = pathlib.Path(__file__).resolve().parents[2] / 'examples'


@frozen
class MeasureOptions:
    """Options of the command.

    :ivar deployment: name of the example document.
    :ivar policy: the policy to measure; empty for the default and every
        baseline.
    :ivar minutes: duration of each load, minutes of simulated time.
    :ivar loads: offered loads, as shares of capacity.
    :ivar long_weight: replaces the document's ``long_weight``; none keeps it.
    :ivar output_format: ``table`` or ``json``.
    :ivar report: path of the HTML report; empty for no report.
    """

    deployment: str
    policy: str
    seed: int
    minutes: float
    faults: str
    loads: tuple[float, ...]
    long_weight: float | None = None
    output_format: str = 'table'
    report: str = ''


def read_options(flags: Mapping[str, RawValue]) -> MeasureOptions:
    """Parse the options of a command line.

    :param flags: flags, as parsed by the command-line library.
    :raises ImproperlyConfigured: a flag is unknown or its value is invalid.
    """
    unknown_flags = set(flags) - _FLAGS
    if unknown_flags:
        raise ImproperlyConfigured(f'unknown flag --{min(unknown_flags)}')
    long_weight_flag = flags.get('long_weight')
    try:
        options = MeasureOptions(
            deployment=str(flags.get('deployment', 'kandy')),
            policy=str(flags.get('policy', '')),
            seed=int(str(flags.get('seed', 1))),
            minutes=float(str(flags.get('minutes', DEFAULT_MINUTES))),
            faults=str(flags.get('faults', 'none')),
            loads=_read_loads(flags.get('load')),
            long_weight=None
            if long_weight_flag is None
            else float(str(long_weight_flag)),
            output_format=str(flags.get('format', 'table')),
            report=str(flags.get('report', '')),
        )
    except ValueError as error:
        raise ImproperlyConfigured(
            f'flag value is not a number: {error}'
        ) from None
    validated = validate_options(options)
    if validated.is_error():
        raise ImproperlyConfigured(validated.error)
    return options


def _read_loads(loads: RawValue | Iterable[float] | None) -> tuple[float, ...]:
    # The command-line library parses 0.3,0.8 as a tuple of numbers.
    if loads is None:
        return DEFAULT_LOADS
    if isinstance(loads, str):
        return tuple(float(load) for load in loads.split(','))
    if isinstance(loads, Iterable):
        return tuple(float(load) for load in loads)
    return (float(loads),)


def run_measure(options: MeasureOptions) -> str:
    """Run the measurement and return its output text."""
    measurement = measure(options)
    if options.report:
        heading = (
            f'trefoilhinge measure --deployment={options.deployment} '
            f'--seed={options.seed} --minutes={options.minutes} '
            f'--faults={options.faults}'
        )
        page = render_report(measurement, heading)
        pathlib.Path(options.report).write_text(page, encoding='utf-8')
    format_measurement = (
        format_json if options.output_format == 'json' else format_table
    )
    return format_measurement(measurement)


def print_measure(options: MeasureOptions) -> None:
    """Run the measurement and print its results."""
    print(run_measure(options))


def validate_options(options: MeasureOptions) -> Result[MeasureOptions, str]:
    """Validate the options; return an error message if one is invalid."""
    if options.output_format not in {'table', 'json'}:
        return Error(
            f'--format must be table or json, not {options.output_format}'
        )
    if options.deployment not in CLIENT_DELAY_S:
        names = ', '.join(CLIENT_DELAY_S)
        return Error(
            f'--deployment must be one of {names}, not {options.deployment}'
        )
    if options.policy and options.policy not in list_policies():
        names = ', '.join(list_policies())
        return Error(f'--policy must be one of {names}, not {options.policy}')
    if options.faults not in set(FaultKind):
        names = ', '.join(FaultKind)
        return Error(f'--faults must be one of {names}, not {options.faults}')
    if options.minutes <= 0 or min(options.loads, default=0) <= 0:
        return Error(
            '--minutes and --load must be greater than 0, not '
            f'{options.minutes} and {options.loads}'
        )
    if options.long_weight is not None and not 0 <= options.long_weight <= 1:
        return Error(
            f'--long-weight must be between 0 and 1, not {options.long_weight}'
        )
    return Ok(options)


def measure(options: MeasureOptions) -> Measurement:
    """Run all cells of the options sequentially."""
    plan = _make_cell_plan(options)
    policies = (options.policy,) if options.policy else list_policies()
    return Measurement(
        DEFAULT_POLICY,
        tuple(
            run_cell(evolve(plan, policy=policy, load=load))
            for load in options.loads
            for policy in policies
        ),
    )


def _make_cell_plan(options: MeasureOptions) -> CellPlan:
    path = EXAMPLES_DIRECTORY / f'{options.deployment}.json'
    document_text = path.read_text(encoding='utf-8')
    parsed = parse_document(document_text)
    if parsed.is_error():
        raise DocumentInvalid(f'{path}: {parsed.error[0]}')
    document = parsed.ok
    if options.long_weight is not None:
        balance = evolve(document.balance, long_weight=options.long_weight)
        document = evolve(document, balance=balance)
        document_text = json.dumps(cattrs.unstructure(document))
    return CellPlan(
        document=document,
        document_text=document_text,
        policy=DEFAULT_POLICY,
        load=1,
        seed=options.seed,
        duration_s=options.minutes * SECONDS_PER_MINUTE,
        client_delay_s=CLIENT_DELAY_S[options.deployment],
        faults=FaultKind(options.faults),
    )
