import json

import pytest

from tests.retries.calls import at, make_call
from trefoilhinge.core.identifiers import (
    AttemptId,
    InstanceIdentity,
    InstanceName,
)
from trefoilhinge.core.verdicts import RefusalCode, Verdict
from trefoilhinge.retries.handover import ENTRIES_PER_PART
from trefoilhinge.retries.interfaces import (
    ClaimForwarded,
    ClaimGranted,
    ClaimRefused,
)
from trefoilhinge.retries.ledger import make_owned_key_ledger

A = InstanceIdentity(InstanceName('a'), 100)
B = InstanceIdentity(InstanceName('b'), 100)


def make_ledger(identity=A, secret='secret', start_token='11111111', **options):
    return make_owned_key_ledger(identity, secret, start_token, **options)


def run_call(ledger, call, verdict, now):
    assert ledger.claim(call, now) == ClaimGranted()
    ledger.record_intent(call, AttemptId(call.request_id, 1), now)
    ledger.settle(call, verdict, now)


def read_refusal(claim):
    assert isinstance(claim, ClaimRefused), claim
    return claim.refusal.code, claim.refusal.verdict


class TestOwnedKeys:
    def test_minted_key_runs_once_at_its_owner(self):
        ledger = make_ledger()
        call = make_call(ledger.mint_key('hotel', at(0)))
        run_call(ledger, call, Verdict.RAN, at(0))
        repeated = make_call(call.key, 'r2')
        assert read_refusal(ledger.claim(repeated, at(1))) == (
            RefusalCode.ALREADY_RAN,
            Verdict.RAN,
        )

    def test_key_of_a_running_call_is_in_use(self):
        ledger = make_ledger()
        call = make_call(ledger.mint_key('hotel', at(0)))
        ledger.claim(call, at(0))
        ledger.record_intent(call, AttemptId('r1', 1), at(0))
        assert read_refusal(ledger.claim(make_call(call.key, 'r2'), at(1))) == (
            RefusalCode.KEY_IN_USE,
            Verdict.MAY_HAVE_RUN,
        )

    def test_key_of_a_waiting_call_is_not_refused_as_not_run(self):
        ledger = make_ledger()
        call = make_call(ledger.mint_key('hotel', at(0)))
        ledger.claim(call, at(0))
        assert read_refusal(ledger.claim(make_call(call.key, 'r2'), at(1))) == (
            RefusalCode.KEY_IN_USE,
            Verdict.MAY_HAVE_RUN,
        )

    def test_key_of_a_call_that_did_not_run_may_be_used_again(self):
        ledger = make_ledger()
        call = make_call(ledger.mint_key('hotel', at(0)))
        run_call(ledger, call, Verdict.NOT_RUN, at(0))
        repeated = make_call(call.key, 'r2')
        assert ledger.claim(repeated, at(1)) == ClaimGranted()
        # The first request no longer holds the grant and cannot settle it.
        ledger.settle(call, Verdict.NOT_RUN, at(1))
        third = ledger.claim(make_call(call.key, 'r3'), at(1))
        assert read_refusal(third)[0] is RefusalCode.KEY_IN_USE

    def test_key_with_another_body_is_refused(self):
        ledger = make_ledger()
        call = make_call(ledger.mint_key('hotel', at(0)))
        run_call(ledger, call, Verdict.RAN, at(0))
        other = make_call(call.key, 'r2', body='c' * 64)
        assert read_refusal(ledger.claim(other, at(1))) == (
            RefusalCode.BAD_REQUEST,
            Verdict.NOT_RUN,
        )

    def test_other_instances_forward_to_the_incarnation_of_the_owner(self):
        key = make_ledger().mint_key('hotel', at(0))
        other = make_ledger(B)
        assert other.claim(make_call(key), at(0)) == ClaimForwarded('a', 100)
        forwarded = make_call(key, forwarded=True)
        assert read_refusal(other.claim(forwarded, at(0))) == (
            RefusalCode.KEY_OWNER_GONE,
            Verdict.MAY_HAVE_RUN,
        )

    @pytest.mark.parametrize(
        ('identity', 'life'),
        [
            (InstanceIdentity(InstanceName('a'), 101), '22222222'),
            (A, '22222222'),
        ],
    )
    def test_restarted_owner_does_not_grant_its_old_keys(self, identity, life):
        key = make_ledger().mint_key('hotel', at(0))
        restarted = make_ledger(identity, start_token=life)
        assert read_refusal(restarted.claim(make_call(key), at(0))) == (
            RefusalCode.KEY_OWNER_GONE,
            Verdict.MAY_HAVE_RUN,
        )

    def test_idempotent_calls_are_granted_anywhere(self):
        key = make_ledger().mint_key('hotel', at(0))
        call = make_call(key, idempotent=True)
        assert make_ledger(B).claim(call, at(0)) == ClaimGranted()

    def test_call_without_a_key_is_granted(self):
        assert make_ledger().claim(make_call(), at(0)) == ClaimGranted()


class TestRefusedKeys:
    def test_unminted_key_is_refused_with_a_minted_one(self):
        ledger = make_ledger()
        claim = ledger.claim(make_call('table-7'), at(0))
        assert read_refusal(claim) == (RefusalCode.KEY_UNKNOWN, Verdict.NOT_RUN)
        name, _, key = claim.refusal.example.partition(': ')
        assert name == 'Idempotency-Key'
        assert ledger.claim(make_call(key), at(0)) == ClaimGranted()

    def test_key_of_another_organisation_is_refused(self):
        ledger = make_ledger()
        key = ledger.mint_key('hotel', at(0))
        other = make_call(key, organisation='hall')
        assert read_refusal(ledger.claim(other, at(0))) == (
            RefusalCode.KEY_UNKNOWN,
            Verdict.NOT_RUN,
        )

    @pytest.mark.parametrize('spot', range(1, 8))
    def test_no_part_of_a_key_can_be_changed(self, spot):
        ledger = make_ledger()
        parts = ledger.mint_key('hotel', at(0)).split('~')
        parts[spot] = f'{parts[spot]}1'
        claim = ledger.claim(make_call('~'.join(parts)), at(0))
        assert isinstance(claim, ClaimRefused)

    def test_key_of_a_replaced_secret_may_have_run(self):
        key = make_ledger(secret='old').mint_key('hotel', at(0))
        assert read_refusal(make_ledger().claim(make_call(key), at(0))) == (
            RefusalCode.KEY_OWNER_GONE,
            Verdict.MAY_HAVE_RUN,
        )

    def test_expired_key_may_have_run(self):
        ledger = make_ledger()
        key = ledger.mint_key('hotel', at(0))
        assert read_refusal(ledger.claim(make_call(key), at(900))) == (
            RefusalCode.KEY_EXPIRED,
            Verdict.MAY_HAVE_RUN,
        )

    @pytest.mark.parametrize('shift_s', [-100_000, 100_000])
    def test_setting_the_wall_clock_revives_no_key(self, shift_s):
        ledger = make_ledger()
        call = make_call(ledger.mint_key('hotel', at(0)))
        run_call(ledger, call, Verdict.RAN, at(1))
        ledger.expire(at(2000, shift_s))
        claim = ledger.claim(make_call(call.key, 'r2'), at(2001, shift_s))
        assert read_refusal(claim)[1] is Verdict.MAY_HAVE_RUN


class TestBoundedMemory:
    def test_full_ledger_refuses_and_evicts_nothing(self):
        ledger = make_ledger(maximum_entries=2)
        keys = [ledger.mint_key('hotel', at(0)) for _ in range(3)]
        for key in keys[:2]:
            run_call(ledger, make_call(key, key), Verdict.RAN, at(0))
        assert read_refusal(ledger.claim(make_call(keys[2]), at(1))) == (
            RefusalCode.OVERLOADED,
            Verdict.NOT_RUN,
        )
        first = ledger.claim(make_call(keys[0], 'r2'), at(1))
        assert read_refusal(first) == (RefusalCode.ALREADY_RAN, Verdict.RAN)

    def test_entries_expire_after_the_key_window(self):
        ledger = make_ledger(maximum_entries=1)
        old = make_call(ledger.mint_key('hotel', at(0)))
        run_call(ledger, old, Verdict.RAN, at(800))
        ledger.expire(at(1600))
        fresh = make_call(ledger.mint_key('hotel', at(1600)), 'r2')
        assert read_refusal(ledger.claim(fresh, at(1600)))[1] is Verdict.NOT_RUN
        ledger.expire(at(1701))
        assert ledger.claim(fresh, at(1701)) == ClaimGranted()

    def test_key_of_a_lost_request_does_not_stay_in_use(self):
        ledger = make_ledger()
        call = make_call(ledger.mint_key('hotel', at(0)))
        assert ledger.claim(call, at(0)) == ClaimGranted()
        repeated = make_call(call.key, 'r2')
        ledger.expire(at(119))
        assert (
            read_refusal(ledger.claim(repeated, at(119)))[0]
            is RefusalCode.KEY_IN_USE
        )
        ledger.expire(at(121))
        assert read_refusal(ledger.claim(repeated, at(121))) == (
            RefusalCode.ALREADY_RAN,
            Verdict.MAY_HAVE_RUN,
        )


class TestHandover:
    def hand_over(self, owner, successor, now):
        for part in owner.export_entries(now):
            assert successor.adopt_entries(part, now)

    def test_successor_answers_from_the_ledger_and_never_grants(self):
        owner, successor = make_ledger(), make_ledger(B)
        ran, failed, unused = (owner.mint_key('hotel', at(0)) for _ in 'abc')
        run_call(owner, make_call(ran, 'r1'), Verdict.RAN, at(0))
        run_call(owner, make_call(failed, 'r2'), Verdict.NOT_RUN, at(0))
        self.hand_over(owner, successor, at(1))
        verdicts = [
            read_refusal(successor.claim(make_call(key, 'r9'), at(2)))[1]
            for key in (ran, failed, unused)
        ]
        assert verdicts == [Verdict.RAN, Verdict.NOT_RUN, Verdict.NOT_RUN]

    def test_owner_grants_nothing_after_its_handover(self):
        owner = make_ledger()
        key = owner.mint_key('hotel', at(0))
        owner.export_entries(at(1))
        assert read_refusal(owner.claim(make_call(key), at(2))) == (
            RefusalCode.KEY_OWNER_GONE,
            Verdict.NOT_RUN,
        )
        assert owner.mint_key('hotel', at(2)) == ''

    def test_key_that_its_owner_dropped_may_have_run(self):
        owner, successor = make_ledger(), make_ledger(B)
        old = make_call(owner.mint_key('hotel', at(0)))
        run_call(owner, old, Verdict.RAN, at(1))
        owner.expire(at(1000))
        self.hand_over(owner, successor, at(1000))
        # The clock of the successor is still before the key's expiry.
        claim = successor.claim(make_call(old.key, 'r2'), at(3))
        assert read_refusal(claim)[1] is Verdict.MAY_HAVE_RUN

    def test_incomplete_handover_proves_nothing_about_missing_keys(self):
        owner, successor = make_ledger(), make_ledger(B)
        for number in range(ENTRIES_PER_PART + 1):
            call = make_call(owner.mint_key('hotel', at(0)), str(number))
            run_call(owner, call, Verdict.RAN, at(0))
        unused = owner.mint_key('hotel', at(0))
        first, second = owner.export_entries(at(1))
        assert successor.adopt_entries(second, at(1))
        before = successor.claim(make_call(unused), at(2))
        assert read_refusal(before)[1] is Verdict.MAY_HAVE_RUN
        assert successor.adopt_entries(first, at(2))
        after = successor.claim(make_call(unused), at(2))
        assert read_refusal(after)[1] is Verdict.NOT_RUN

    def test_running_call_is_handed_over_as_may_have_run(self):
        owner, successor = make_ledger(), make_ledger(B)
        call = make_call(owner.mint_key('hotel', at(0)))
        owner.claim(call, at(0))
        self.hand_over(owner, successor, at(1))
        claim = successor.claim(make_call(call.key, 'r2'), at(2))
        assert read_refusal(claim)[1] is Verdict.MAY_HAVE_RUN

    @pytest.mark.parametrize(
        'text',
        ['', '[]', '{"owner": 1}', 'nul', '{"a": "\\ud800"}'],
    )
    def test_unreadable_handover_is_not_adopted(self, text):
        assert not make_ledger(B).adopt_entries(text, at(0))

    def test_changed_handover_is_not_adopted(self):
        owner = make_ledger()
        run_call(
            owner, make_call(owner.mint_key('hotel', at(0))), Verdict.RAN, at(0)
        )
        fields = json.loads(owner.export_entries(at(1))[0])
        fields['entries'][0]['verdict'] = 'not_run'
        assert not make_ledger(B).adopt_entries(json.dumps(fields), at(1))
