"""Tests of a fleet's reconcilers, with engines that load weights slowly."""

import json

import pytest

from tests.node.nodes import write_document
from tests.retries.calls import at
from trefoilhinge.conf.document import parse_document
from trefoilhinge.core.effects import ReadEngineState, SendOrder
from trefoilhinge.core.events import EngineStateRead, OrderAnswered
from trefoilhinge.core.identifiers import InstanceIdentity, InstanceName
from trefoilhinge.core.reports import EngineState
from trefoilhinge.membership.interfaces import TargetView
from trefoilhinge.orders.reconciler import make_read_back_reconciler

LOAD_S = 20.0
STEP_S = 0.5


def make_document(revision=2, version='v2', **changes):
    fields = json.loads(write_document(revision))
    service = next(s for s in fields['services'] if s['name'] == 'writer')
    service['desired'] = {'model': 'open-large', 'version': version}
    model = next(m for m in fields['models'] if m['name'] == 'open-large')
    model['versions'] = ['v1', 'v2', 'v3']
    service.update(
        {'minimum_ready': 4, 'loads_per_minute': 30.0, **changes},
    )
    parsed = parse_document(json.dumps(fields))
    assert parsed.is_ok(), parsed.error
    return parsed.ok


class FakeEngine:
    def __init__(self, name, checks_fence):
        self.view = TargetView(name, f'{name}:1', 'kandy', 'writer')
        self.checks_fence = checks_fence
        self.fence = 0
        self.version = 'v1'
        self.role = 'both'
        self.loading = None
        self.orders = 0

    def read(self, now_s):
        self.finish_load(now_s)
        return EngineState(
            self.view.name,
            self.fence,
            'open-large',
            self.version,
            (),
            self.role,
            self.loading is None,
        )

    def finish_load(self, now_s):
        if self.loading is not None and now_s >= self.loading[0]:
            self.version = self.loading[1]
            self.loading = None

    def accept(self, order, now_s):
        self.finish_load(now_s)
        if self.checks_fence and order.fence <= self.fence:
            return False
        self.fence = order.fence
        self.orders += 1
        self.role = order.role
        if order.version != self.version:
            self.loading = (now_s + LOAD_S, order.version)
        return True


class Deployment:
    def __init__(
        self, reconcilers=3, engines=6, checks_fence=True, document=None
    ):
        self.engines = {
            f'w{n}': FakeEngine(f'w{n}', checks_fence) for n in range(engines)
        }
        self.targets = tuple(one.view for one in self.engines.values())
        self.names = [InstanceName(f'i{n}') for n in range(reconcilers)]
        self.reconcilers = {
            name: make_read_back_reconciler(name) for name in self.names
        }
        self.views = dict.fromkeys(self.names, self.names)
        self.now_s = 0.0
        self.loads = []
        self.minimum_seen_ready = engines
        self.log_names = []
        for one in self.reconcilers.values():
            one.configure(document or make_document(), at(0))

    def run(self, seconds, names=None):
        for _ in range(round(seconds / STEP_S)):
            self.now_s += STEP_S
            # All reconcilers decide before any of their orders arrives.
            decided = [
                (name, self.decide(name)) for name in names or self.names
            ]
            for name, effects in decided:
                self.perform(name, effects)
            ready = sum(
                one.read(self.now_s).ready for one in self.engines.values()
            )
            self.minimum_seen_ready = min(self.minimum_seen_ready, ready)

    def decide(self, name):
        live = frozenset(InstanceIdentity(n, 1) for n in self.views[name])
        reconciler = self.reconcilers[name]
        now = at(self.now_s)
        effects = reconciler.reconcile(live, len(self.names), self.targets, now)
        decided = []
        for read in effects:
            assert isinstance(read, ReadEngineState)
            state = self.engines[read.target].read(self.now_s)
            event = EngineStateRead(read.target, state)
            decided.extend(reconciler.note_state(event, now))
        return decided

    def perform(self, name, effects):
        for order in effects:
            if isinstance(order, SendOrder):
                engine = self.engines[order.target]
                accepted = engine.accept(order, self.now_s)
                if engine.loading:
                    self.loads.append(self.now_s)
                answer = OrderAnswered(order.target, order.fence, accepted)
                self.reconcilers[name].note_answer(answer, at(self.now_s))
            else:
                self.log_names.append(order.name)

    def list_versions(self):
        return {one.read(self.now_s).version for one in self.engines.values()}


class TestRollout:
    def test_every_target_reaches_the_desired_state_and_stays(self):
        deployment = Deployment()
        deployment.run(600)
        assert deployment.list_versions() == {'v2'}
        orders = [one.orders for one in deployment.engines.values()]
        assert orders == [1] * 6

    def test_ready_targets_do_not_fall_below_the_minimum(self):
        deployment = Deployment()
        deployment.run(600)
        assert deployment.minimum_seen_ready == 4

    def test_concurrent_decisions_keep_the_minimum_ready(self):
        document = make_document(loads_per_minute=10000.0)
        deployment = Deployment(6, 8, document=document)
        deployment.run(600)
        assert deployment.list_versions() == {'v2'}
        assert deployment.minimum_seen_ready == 4

    def test_nothing_is_ordered_while_too_few_are_ready(self):
        deployment = Deployment(engines=4)
        deployment.run(300)
        assert not deployment.loads

    def test_loads_stay_within_the_rate_of_the_store(self):
        document = make_document(loads_per_minute=2.0, minimum_ready=0)
        deployment = Deployment(engines=12, document=document)
        deployment.run(400)
        assert deployment.list_versions() == {'v1', 'v2'}
        assert 6 <= len(deployment.loads) <= 400 / 60 * 2

    def test_partitioned_fleet_stays_within_the_rate_in_total(self):
        document = make_document(loads_per_minute=2.0, minimum_ready=0)
        deployment = Deployment(4, 12, document=document)
        first, second = deployment.names[:2], deployment.names[2:]
        deployment.views = {
            name: first if name in first else second
            for name in deployment.names
        }
        deployment.run(400)
        assert 4 <= len(deployment.loads) <= 400 / 60 * 2

    def test_partitioned_fleet_undershoots_the_minimum_by_at_most_one(
        self,
    ):
        deployment = Deployment(4, 12)
        first, second = deployment.names[:2], deployment.names[2:]
        deployment.views = {
            name: first if name in first else second
            for name in deployment.names
        }
        deployment.run(600)
        assert deployment.list_versions() == {'v2'}
        assert deployment.minimum_seen_ready >= 4 - 1

    def test_roles_are_assigned_by_share(self):
        deployment = Deployment(
            engines=6,
            document=make_document(
                desired={
                    'model': 'open-large',
                    'version': 'v2',
                    'prefill_share': 0.5,
                },
            ),
        )
        deployment.run(600)
        roles = sorted(one.role for one in deployment.engines.values())
        assert roles == ['decode'] * 3 + ['prefill'] * 3


class TestOutdatedReconcilers:
    @pytest.mark.parametrize('checks_fence', [True, False])
    def test_reconciler_of_an_old_revision_reverts_nothing(self, checks_fence):
        deployment = Deployment(checks_fence=checks_fence)
        late = deployment.names[0]
        deployment.run(600)
        for name in deployment.names[1:]:
            newer = make_document(3, 'v3')
            deployment.reconcilers[name].configure(newer, at(deployment.now_s))
            deployment.views[name] = deployment.names[1:]
        deployment.run(600, deployment.names[1:])
        assert deployment.list_versions() == {'v3'}
        deployment.reconcilers[late].note_pause(at(deployment.now_s))
        deployment.run(60, [late])
        assert deployment.list_versions() == {'v3'}
        assert 'order_held' in deployment.log_names

    def test_late_order_is_refused_or_corrected(self):
        for checks_fence in (True, False):
            deployment = Deployment(checks_fence=checks_fence)
            deployment.run(600)
            engine = deployment.engines['w0']
            late = SendOrder(
                'w0', 'w0:1', 1, 1, 'open-large', 'v1', (), 'both', at(0)
            )
            assert engine.accept(late, deployment.now_s) is not checks_fence
            deployment.run(600)
            assert deployment.list_versions() == {'v2'}

    def test_state_read_before_a_pause_leads_to_no_order(self):
        deployment = Deployment(reconcilers=1)
        name = deployment.names[0]
        reconciler = deployment.reconcilers[name]
        deployment.run(5)
        state = deployment.engines['w0'].read(deployment.now_s)
        deployment.now_s += 60
        reconciler.note_pause(at(deployment.now_s))
        event = EngineStateRead('w0', state)
        assert reconciler.note_state(event, at(deployment.now_s)) == ()


class TestReads:
    def test_reads_of_many_targets_are_rate_limited(self):
        deployment = Deployment(reconcilers=1, engines=4000)
        live = frozenset((InstanceIdentity(deployment.names[0], 1),))
        reconciler = deployment.reconcilers[deployment.names[0]]
        count = sum(
            len(
                reconciler.reconcile(
                    live, 1, deployment.targets, at(1 + tick / 2)
                )
            )
            for tick in range(20)
        )
        assert 10 * 60 <= count <= 64 + 10 * 60
