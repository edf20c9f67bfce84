"""Random histories of a fleet, with an oracle that counts runs of each key."""

import random

import pytest

from tests.retries.calls import at, make_call
from trefoilhinge.core.identifiers import (
    AttemptId,
    InstanceIdentity,
    InstanceName,
)
from trefoilhinge.core.verdicts import Verdict
from trefoilhinge.retries import ledger as ledger_module
from trefoilhinge.retries.interfaces import (
    ClaimForwarded,
    ClaimGranted,
    ClaimRefused,
)
from trefoilhinge.retries.ledger import make_owned_key_ledger

NAMES = ('a', 'b', 'c', 'd')
STEPS = 400
STEP_S = 20


class FleetSimulation:
    """Instances with restarts, partitions, handovers and clock jumps."""

    def __init__(self, seed, make_ledger):
        self.rng = random.Random(seed)
        self.make_ledger = make_ledger
        self.elapsed_s = 0.0
        self.clock_shifts_s = dict.fromkeys(NAMES, 0.0)
        self.start_count = 0
        self.ledgers = {}
        self.incarnations = {}
        self.former = []
        self.running = []
        self.keys = []
        self.parts = []
        self.ran = {}
        self.possible = {}
        self.claims = 0
        for name in NAMES:
            self.restart(name)

    def restart(self, name):
        self.running = [entry for entry in self.running if entry[0] != name]
        self.start_count += 1
        # After its clock is set back, a restart may repeat an incarnation.
        incarnation = self.rng.choice([7, 8, 100 + self.start_count])
        identity = InstanceIdentity(InstanceName(name), incarnation)
        start_token = f'{self.start_count:08x}'
        self.ledgers[name] = self.make_ledger(identity, 'secret', start_token)
        self.incarnations[name] = incarnation

    def now(self, name):
        return at(self.elapsed_s, self.clock_shifts_s[name])

    def step(self):
        self.elapsed_s += self.rng.random() * STEP_S
        name = self.rng.choice(NAMES)
        action = self.rng.choices(
            (
                self.mint,
                self.call,
                self.end_call,
                self.jump_clock,
                self.expire,
                self.hand_over,
                self.adopt,
                self.restart,
            ),
            (20, 60, 30, 4, 10, 2, 10, 1),
        )[0]
        action(name)

    def mint(self, name):
        key = self.ledgers[name].mint_key('hotel', self.now(name))
        if key:
            self.keys.append(key)

    def call(self, name):
        key = f'own-{self.rng.randrange(9)}'
        if self.keys and self.rng.random() < 0.95:
            recent = self.keys[-20:]
            key = self.rng.choice(
                recent if self.rng.random() < 0.8 else self.keys,
            )
        self.claims += 1
        call = make_call(key, f'r{self.claims}')
        claim = self.ledgers[name].claim(call, self.now(name))
        if isinstance(claim, ClaimForwarded):
            name = claim.owner
            # The call is lost in a partition or by outdated membership.
            if self.rng.random() < 0.2:
                return
            call = make_call(key, call.request_id, forwarded=True)
            claim = self.ledgers[name].claim(call, self.now(name))
        if isinstance(claim, ClaimGranted):
            self.send(name, call)
        else:
            self.check_refusal(key, claim)

    def send(self, name, call):
        attempt = AttemptId(call.request_id, 1)
        if self.rng.random() < 0.1:
            # The call is refused before it is sent, as by the limiter.
            verdict = Verdict.NOT_RUN
            self.ledgers[name].settle(call, verdict, self.now(name))
            return
        self.ledgers[name].record_intent(call, attempt, self.now(name))
        ran = self.rng.random() < 0.7
        if ran:
            self.ran[call.key] = self.ran.get(call.key, 0) + 1
        self.running.append((name, call, ran))

    def end_call(self, name):
        if not self.running:
            return
        owner, call, ran = self.running.pop(
            self.rng.randrange(len(self.running)),
        )
        observed = Verdict.RAN if ran else Verdict.NOT_RUN
        verdict = self.rng.choice((observed, Verdict.MAY_HAVE_RUN))
        now = self.now(owner)
        self.ledgers[owner].settle(call, verdict, now)

    def jump_clock(self, name):
        self.clock_shifts_s[name] += self.rng.uniform(-5000, 5000)

    def expire(self, name):
        self.ledgers[name].expire(self.now(name))

    def hand_over(self, name):
        parts = self.ledgers[name].export_entries(self.now(name))
        self.parts.extend(parts)
        # Otherwise, the owner still receives calls after its handover.
        if self.rng.random() < 0.5:
            self.restart(name)

    def adopt(self, name):
        if self.parts:
            part = self.rng.choice(self.parts)
            self.ledgers[name].adopt_entries(part, self.now(name))

    def check_refusal(self, key, claim):
        assert isinstance(claim, ClaimRefused)
        if claim.refusal.verdict is Verdict.NOT_RUN:
            assert key not in self.ran, f'{key} ran but was refused as not_run'
        if claim.refusal.verdict is Verdict.RAN:
            assert key in self.ran


def run_history(seed, make_ledger=make_owned_key_ledger):
    fleet = FleetSimulation(seed, make_ledger)
    for _ in range(STEPS):
        fleet.step()
    return fleet


class TestAtMostOnce:
    @pytest.mark.parametrize('seed', range(60))
    def test_no_key_runs_twice(self, seed):
        fleet = run_history(seed)
        assert fleet.ran
        assert max(fleet.ran.values()) == 1

    def test_oracle_detects_a_ledger_that_drops_entries_early(self):
        class ForgetfulLedger(ledger_module.OwnedKeyLedger):
            def expire(self, now):
                self._entries.clear()

        self.check_detected(ForgetfulLedger)

    def test_oracle_detects_a_ledger_that_grants_keys_of_earlier_incarnations(
        self,
    ):
        class NameOwningLedger(ledger_module.OwnedKeyLedger):
            def _owns(self, key):
                return key.owner.name == self._identity.name

        self.check_detected(NameOwningLedger)

    def test_oracle_detects_a_ledger_that_grants_after_its_handover(self):
        class UnsealedLedger(ledger_module.OwnedKeyLedger):
            def export_entries(self, now):
                parts = super().export_entries(now)
                self._sealed = False
                return parts

        self.check_detected(UnsealedLedger)

    def check_detected(self, ledger_class):
        def make_broken_ledger(identity, secret, start_token):
            signer = ledger_module.make_key_signer(secret)
            return ledger_class(identity, start_token, signer)

        detected = 0
        for seed in range(60):
            try:
                fleet = run_history(seed, make_broken_ledger)
            except AssertionError:
                detected += 1
            else:
                detected += max(fleet.ran.values()) > 1
        assert detected
