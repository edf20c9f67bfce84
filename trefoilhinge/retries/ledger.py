"""At-most-once execution of non-idempotent calls, without a shared store.

Only the incarnation that minted a key ever grants it. Other instances forward
the call to it, or answer from the ledger that it handed over when it stopped.
If it is gone without a handover, the verdict is that the call may have run.
"""

from attrs import define, field

from trefoilhinge.conf.generated.document import Document
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.identifiers import (
    AttemptId,
    InstanceIdentity,
    RequestId,
)
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.core.verdicts import Refusal, Verdict
from trefoilhinge.retries import refusals
from trefoilhinge.retries.adopted_ledgers import AdoptedLedgerStore
from trefoilhinge.retries.handover import HandoverEntry, read_part, write_parts
from trefoilhinge.retries.idempotency_keys import (
    KeySigner,
    MintedKey,
    SignatureStatus,
    make_key_signer,
    parse_key,
)
from trefoilhinge.retries.interfaces import (
    Claim,
    ClaimForwarded,
    ClaimGranted,
    ClaimRefused,
)

MAXIMUM_ENTRIES = 65_536
BODY_DIGEST_DIGITS = 16
LOST_REQUEST_GRACE_S = 60.0  # time after the deadline of a request
_MS_PER_S = 1000


@define
class _KeyEntry:
    """Entry of a key that this instance granted.

    :ivar request_id: request that holds the grant; only this request may
        settle the entry.
    :ivar body_digest: first hexadecimal digits of the digest of its body.
    :ivar expires_ms: milliseconds of this instance's clock at which the key
        expires.
    :ivar deadline_s: deadline of the request, in monotonic seconds.
    :ivar verdict: whether the request may have run.
    :ivar ended_s: monotonic seconds at which the request ended, ``None``
        while it is in progress.
    """

    request_id: RequestId
    body_digest: str
    expires_ms: int
    deadline_s: float
    verdict: Verdict = Verdict.NOT_RUN
    ended_s: float | None = None


@define
class OwnedKeyLedger:
    """Ledger of one incarnation, which grants each of its keys to one run."""

    _identity: InstanceIdentity
    _start_token: str
    _signer: KeySigner
    _maximum_entries: int = MAXIMUM_ENTRIES
    _entries: dict[str, _KeyEntry] = field(factory=dict)
    _adopted_ledgers: AdoptedLedgerStore = field(factory=AdoptedLedgerStore)
    _key_window_s: float = 900
    _minted_count: int = 0
    # The clock of the keys starts at the wall clock of the first event and
    # then follows the monotonic clock: setting the wall clock must neither
    # revive an expired key nor expire one early.
    _clock_anchor: Instant | None = None
    _now_ms: int = 0
    _sealed: bool = False

    def configure(self, document: Document) -> None:
        """Apply a document that is now in force."""
        self._key_window_s = document.time_limits.key_window_s

    def claim(self, profile: CallProfile, now: Instant) -> Claim:
        """Decide whether a call may be sent, and by which instance."""
        if profile.idempotent or not profile.key:
            return ClaimGranted()
        self._advance_clock(now)
        key = parse_key(profile.key)
        if key is None:
            new_key = self.mint_key(profile.organisation, now)
            return ClaimRefused(refusals.refuse_unminted_key(new_key))
        signature_status = self._signer.verify_key(key, profile.organisation)
        if signature_status is SignatureStatus.FORGED:
            return ClaimRefused(refusals.refuse_forged_key())
        if signature_status is SignatureStatus.UNVERIFIABLE:
            return ClaimRefused(refusals.refuse_owner_gone())
        if self._owns(key):
            return self._claim_own(key, profile)
        return self._claim_foreign(key, profile)

    def record_intent(
        self,
        profile: CallProfile,
        attempt: AttemptId,
        now: Instant,
    ) -> None:
        """Record that the call may run from now on."""
        entry = self._find_entry(profile)
        if entry is not None:
            entry.verdict = Verdict.MAY_HAVE_RUN

    def settle(
        self,
        profile: CallProfile,
        verdict: Verdict,
        now: Instant,
    ) -> None:
        """Record the verdict on a call that ended."""
        entry = self._find_entry(profile)
        if entry is not None:
            entry.verdict = verdict
            entry.ended_s = now.monotonic_s

    def mint_key(self, organisation: str, now: Instant) -> str:
        """Return a new key, empty once the ledger is sealed."""
        if self._sealed:
            return ''
        self._advance_clock(now)
        self._minted_count += 1
        expires_ms = self._now_ms + int(self._key_window_s * _MS_PER_S)
        return self._signer.write_key(
            self._identity,
            self._start_token,
            organisation,
            expires_ms,
            f'{self._minted_count:x}',
        )

    def export_entries(self, now: Instant) -> tuple[str, ...]:
        """Seal this ledger and return it in parts for peers.

        A sealed ledger grants no key, so that the exported verdicts remain
        valid. If no key was ever minted, there is nothing to hand over.
        """
        self._sealed = True
        self._advance_clock(now)
        if not self._minted_count:
            return ()
        entries = tuple(
            HandoverEntry(nonce, _find_final_verdict(entry), entry.body_digest)
            for nonce, entry in self._entries.items()
        )
        return write_parts(
            self._identity,
            self._start_token,
            self._now_ms,
            entries,
            self._signer,
        )

    def adopt_entries(self, text: str, now: Instant) -> bool:
        """Adopt a part of a stopping peer's ledger.

        :return: whether the part was adopted.
        """
        part = read_part(text, self._signer)
        if part is None or part.identity == self._identity:
            return False
        return self._adopted_ledgers.adopt(part, self._key_window_s, now)

    def expire(self, now: Instant) -> None:
        """Drop expired keys whose call ended at least one key window ago."""
        self._advance_clock(now)
        self._adopted_ledgers.expire(now)
        self._settle_lost(now)
        ended_before_s = now.monotonic_s - self._key_window_s
        stale = tuple(
            nonce
            for nonce, entry in self._entries.items()
            if entry.ended_s is not None
            and entry.ended_s <= ended_before_s
            and entry.expires_ms <= self._now_ms
        )
        for nonce in stale:
            del self._entries[nonce]

    def _settle_lost(self, now: Instant) -> None:
        # A request that was lost without being settled, for example by an
        # error, must not keep its key in use for ever.
        for entry in self._entries.values():
            overdue_s = now.monotonic_s - entry.deadline_s
            if entry.ended_s is None and overdue_s > LOST_REQUEST_GRACE_S:
                entry.verdict = Verdict.MAY_HAVE_RUN
                entry.ended_s = now.monotonic_s

    def _claim_own(self, key: MintedKey, profile: CallProfile) -> Claim:
        body_digest = profile.body_digest[:BODY_DIGEST_DIGITS]
        entry = self._entries.get(key.nonce)
        if entry is None:
            return self._claim_first(key, profile, body_digest)
        if entry.body_digest != body_digest:
            return ClaimRefused(refusals.refuse_body_mismatch())
        if entry.ended_s is None:
            return ClaimRefused(refusals.refuse_key_in_use())
        if entry.verdict is not Verdict.NOT_RUN:
            return ClaimRefused(refusals.refuse_already_ran(entry.verdict))
        if self._sealed:
            return ClaimRefused(refusals.refuse_retired_key())
        entry.request_id = profile.request_id
        entry.deadline_s = profile.deadline_s
        entry.ended_s = None
        return ClaimGranted()

    def _claim_first(
        self,
        key: MintedKey,
        profile: CallProfile,
        body_digest: str,
    ) -> Claim:
        # The entry of an expired key may have been dropped after its use.
        if key.expires_ms <= self._now_ms:
            return ClaimRefused(refusals.refuse_expired_key())
        if self._sealed:
            return ClaimRefused(refusals.refuse_retired_key())
        if len(self._entries) >= self._maximum_entries:
            return ClaimRefused(
                refusals.refuse_ledger_full(self._maximum_entries)
            )
        entry = _KeyEntry(
            profile.request_id,
            body_digest,
            key.expires_ms,
            profile.deadline_s,
        )
        self._entries[key.nonce] = entry
        return ClaimGranted()

    def _claim_foreign(self, key: MintedKey, profile: CallProfile) -> Claim:
        adopted_ledger = self._adopted_ledgers.find(key)
        if adopted_ledger is not None:
            verdict = adopted_ledger.find_verdict(key)
            entry = adopted_ledger.entries.get(key.nonce)
            body_digest = profile.body_digest[:BODY_DIGEST_DIGITS]
            if entry is not None and entry.body != body_digest:
                return ClaimRefused(refusals.refuse_body_mismatch())
            return ClaimRefused(_refuse_adopted(verdict, entry is not None))
        # A forwarded call is never forwarded again. An owner with the name of
        # this instance is an earlier incarnation, which is gone.
        if profile.forwarded or key.owner.name == self._identity.name:
            return ClaimRefused(refusals.refuse_owner_gone())
        return ClaimForwarded(key.owner.name, key.owner.incarnation)

    def _owns(self, key: MintedKey) -> bool:
        return (
            key.owner == self._identity and key.start_token == self._start_token
        )

    def _find_entry(self, profile: CallProfile) -> _KeyEntry | None:
        key = parse_key(profile.key)
        if key is None or not self._owns(key):
            return None
        entry = self._entries.get(key.nonce)
        if entry is None or entry.request_id != profile.request_id:
            return None
        return entry

    def _advance_clock(self, now: Instant) -> None:
        if self._clock_anchor is None:
            self._clock_anchor = now
        elapsed_s = now.monotonic_s - self._clock_anchor.monotonic_s
        self._now_ms = int((self._clock_anchor.wall_s + elapsed_s) * _MS_PER_S)


def _find_final_verdict(entry: _KeyEntry) -> Verdict:
    if entry.ended_s is None:
        return Verdict.MAY_HAVE_RUN
    return entry.verdict


def _refuse_adopted(verdict: Verdict, has_entry: bool) -> Refusal:
    if verdict is Verdict.NOT_RUN:
        return refusals.refuse_retired_key()
    if has_entry:
        return refusals.refuse_already_ran(verdict)
    return refusals.refuse_owner_gone()


def make_owned_key_ledger(
    identity: InstanceIdentity,
    secret: str,
    start_token: str,
    maximum_entries: int = MAXIMUM_ENTRIES,
) -> OwnedKeyLedger:
    """Return an empty ledger of one incarnation.

    :param identity: name and incarnation of this instance.
    :param secret: secret that all instances share and that signs keys.
    :param start_token: token unique to this start of the instance, without
        ``~``, the separator of a key's fields.
    :param maximum_entries: capacity, in keys.
    """
    signer = make_key_signer(secret)
    return OwnedKeyLedger(identity, start_token, signer, maximum_entries)
