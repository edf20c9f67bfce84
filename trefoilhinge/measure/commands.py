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
from trefoilhinge.measure.faults import Disturbance
from trefoilhinge.measure.fleet import DEFAULT_POLICY, list_policies
from trefoilhinge.measure.reports import write_report
from trefoilhinge.measure.results import Measurement
from trefoilhinge.measure.tables import write_json, write_table

CLIENT_ONE_WAY_S = {'caroni': 0.001, 'kandy': 0.003}
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
EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / 'examples'


@frozen
class MeasureOptions:
    """What the command was asked for.

    :ivar policy: one policy, empty for the default and every baseline.
    :ivar long_weight: overrides the document's weight, none leaves it.
    """

    deployment: str
    policy: str
    seed: int
    minutes: float
    faults: str
    loads: tuple[float, ...]
    long_weight: float | None = None
    style: str = 'table'
    report: str = ''


def read_options(given: Mapping[str, RawValue]) -> MeasureOptions:
    """Return the options of a command line.

    :param given: flags, as the command line's library read them.
    :raises ImproperlyConfigured: a flag is unknown or of the wrong type.
    """
    unknown = set(given) - _FLAGS
    if unknown:
        raise ImproperlyConfigured(f'unknown flag --{min(unknown)}')
    weight = given.get('long_weight')
    try:
        options = MeasureOptions(
            deployment=str(given.get('deployment', 'kandy')),
            policy=str(given.get('policy', '')),
            seed=int(str(given.get('seed', 1))),
            minutes=float(str(given.get('minutes', DEFAULT_MINUTES))),
            faults=str(given.get('faults', 'none')),
            loads=_read_loads(given.get('load')),
            long_weight=None if weight is None else float(str(weight)),
            style=str(given.get('format', 'table')),
            report=str(given.get('report', '')),
        )
    except ValueError as error:
        raise ImproperlyConfigured(f'a flag is not a number: {error}') from None
    checked = check_options(options)
    if checked.is_error():
        raise ImproperlyConfigured(checked.error)
    return options


def _read_loads(given: RawValue | Iterable[float] | None) -> tuple[float, ...]:
    # The command line's library reads 0.3,0.8 as a tuple of numbers.
    if given is None:
        return DEFAULT_LOADS
    if isinstance(given, str):
        return tuple(float(one) for one in given.split(','))
    if isinstance(given, Iterable):
        return tuple(float(one) for one in given)
    return (float(given),)


def run_measure(options: MeasureOptions) -> str:
    """Measure and return what to print."""
    measurement = measure(options)
    if options.report:
        heading = (
            f'trefoilhinge measure --deployment={options.deployment} '
            f'--seed={options.seed} --minutes={options.minutes} '
            f'--faults={options.faults}'
        )
        page = write_report(measurement, heading)
        pathlib.Path(options.report).write_text(page, encoding='utf-8')
    write = write_json if options.style == 'json' else write_table
    return write(measurement)


def print_measure(options: MeasureOptions) -> None:
    """Measure and print the figures."""
    print(run_measure(options))


def check_options(options: MeasureOptions) -> Result[MeasureOptions, str]:
    """Return the options, or what is wrong with them."""
    if options.style not in {'table', 'json'}:
        return Error('--format must be table or json')
    if options.deployment not in CLIENT_ONE_WAY_S:
        names = ', '.join(CLIENT_ONE_WAY_S)
        return Error(f'--deployment must be one of {names}')
    if options.policy and options.policy not in list_policies():
        names = ', '.join(list_policies())
        return Error(f'--policy must be one of {names}')
    if options.faults not in set(Disturbance):
        names = ', '.join(Disturbance)
        return Error(f'--faults must be one of {names}')
    if options.minutes <= 0 or min(options.loads, default=0) <= 0:
        return Error('--minutes and --load must be above zero')
    if options.long_weight is not None and not 0 <= options.long_weight <= 1:
        return Error('--long-weight must lie between 0 and 1')
    return Ok(options)


def measure(options: MeasureOptions) -> Measurement:
    """Run every cell that the options ask for, one after another."""
    plan = _make_plan(options)
    policies = (options.policy,) if options.policy else list_policies()
    return Measurement(
        DEFAULT_POLICY,
        tuple(
            run_cell(evolve(plan, policy=policy, load=load))
            for load in options.loads
            for policy in policies
        ),
    )


def _make_plan(options: MeasureOptions) -> CellPlan:
    path = EXAMPLES / f'{options.deployment}.json'
    text = path.read_text(encoding='utf-8')
    parsed = parse_document(text)
    if parsed.is_error():
        raise DocumentInvalid(f'{path}: {parsed.error[0]}')
    document = parsed.ok
    if options.long_weight is not None:
        balance = evolve(document.balance, long_weight=options.long_weight)
        document = evolve(document, balance=balance)
        text = json.dumps(cattrs.unstructure(document))
    return CellPlan(
        document=document,
        text=text,
        policy=DEFAULT_POLICY,
        load=1,
        seed=options.seed,
        seconds=options.minutes * SECONDS_PER_MINUTE,
        client_s=CLIENT_ONE_WAY_S[options.deployment],
        faults=Disturbance(options.faults),
    )
