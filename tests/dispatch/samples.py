"""Test data shared by the tests of the dispatch package."""

from trefoilhinge.dispatch.calls import PromptSize
from trefoilhinge.dispatch.documents import (
    CallKind,
    Route,
    ServiceShare,
)
from trefoilhinge.dispatch.loads import LoadTable, Run, RunPart
from trefoilhinge.dispatch.targets import TargetRecord
from trefoilhinge.measure import placements

ENGINE_PROFILE = placements.ENGINE_PROFILE


def make_route(**fields):
    """Return a route of streams with some fields replaced."""
    defaults = {
        'name': 'notices',
        'host': 'desk.example',
        'prefix': '/notices/',
        'kind': CallKind.stream,
        'timeout_s': 10,
        'slo_s': 0.3,
        'gap_slo_s': 0.25,
        'priority': 1,
        'shares': (ServiceShare('model', 1),),
        'attempts': 2,
        'is_public': False,
        'is_resumable': True,
    }
    return Route(**{**defaults, **fields})


LONG_ROUTE = make_route(name='bundles', slo_s=3, gap_slo_s=1, timeout_s=15)


def make_record(name, **fields):
    """Return a target's record with some fields replaced."""
    defaults = {
        'name': name,
        'service': 'model',
        'address': f'10.0.0.{int(name[1:] or 0) + 1}:80',
        'failure_domain': 'a',
        'slots': 8,
        'is_leaving': False,
        'started_ms': 1000,
        'sequence': 1,
        'revision': 1,
    }
    return TargetRecord(**{**defaults, **fields})


def make_records(count):
    """Return targets t00, t01 and so on."""
    return [make_record(f't{number:02}') for number in range(count)]


def make_short(number, target, started_s=0, output_tokens=1300):
    """Return the run of a short stream at a target."""
    part = RunPart(target, 0.025, 6000, has_slot=True)
    return Run('me', number, (part,), 5000, output_tokens, 0.25, started_s)


def make_loads(shorts_by_target, now_s=0):
    """Return loads with the given number of short streams per target."""
    loads = LoadTable()
    number = 0
    for target, count in shorts_by_target.items():
        for _ in range(count):
            number += 1
            loads.record_start(
                make_short(number, target, now_s), now_s + 10, now_s
            )
    return loads


def make_size(prompt_tokens, output_tokens=1300):
    """Return the token counts of a prompt and its output."""
    return PromptSize(prompt_tokens, output_tokens, output_tokens)
