"""Keeps calls that may not be repeated to one run, without a shared store.

Only the incarnation that minted a key ever grants it. Every other party
forwards, or answers from what that incarnation handed over; when it is gone
the answer is that the call may have run.
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
from trefoilhinge.retries.adopted import AdoptedLedgers
from trefoilhinge.retries.handover import HandedEntry, read_part, write_parts
from trefoilhinge.retries.interfaces import (
    Claim,
    ClaimForwarded,
    ClaimGranted,
    ClaimRefused,
)
from trefoilhinge.retries.minted import (
    KeySigner,
    KeyStanding,
    MintedKey,
    make_key_signer,
    parse_key,
)

MAXIMUM_ENTRIES = 65_536
BODY_DIGITS = 16
LOST_REQUEST_S = 60.0
_MS_PER_S = 1000


@define
class _Entry:
    """One key that was granted here.

    :ivar request_id: request that holds the grant; only it may settle.
    :ivar deadline_s: monotonic seconds by which that request has ended.
    :ivar ended_s: monotonic seconds at which it ended, none while it runs.
    """

    request_id: RequestId
    body: str
    expires_ms: int
    deadline_s: float
    verdict: Verdict = Verdict.NOT_RUN
    ended_s: float | None = None


@define
class OwnedKeyLedger:
    """Grants the keys of one incarnation, each to one run."""

    _identity: InstanceIdentity
    _life: str
    _signer: KeySigner
    _maximum_entries: int = MAXIMUM_ENTRIES
    _entries: dict[str, _Entry] = field(factory=dict)
    _adopted: AdoptedLedgers = field(factory=AdoptedLedgers)
    _window_s: float = 900
    _minted: int = 0
    # Wall clock at the first event; later the monotonic clock counts on, so
    # that a wall clock that is set revives no key and expires none early.
    _anchor: Instant | None = None
    _now_ms: int = 0
    _sealed: bool = False

    def configure(self, document: Document) -> None:
        """Take a document that is now in force."""
        self._window_s = document.time_limits.key_window_s

    def claim(self, profile: CallProfile, now: Instant) -> Claim:
        """Decide whether a call may run, and where."""
        if profile.idempotent or not profile.key:
            return ClaimGranted()
        self._note_time(now)
        key = parse_key(profile.key)
        if key is None:
            fresh = self.mint_key(profile.organisation, now)
            return ClaimRefused(refusals.refuse_chosen_key(fresh))
        standing = self._signer.check_key(key, profile.organisation)
        if standing is KeyStanding.FORGED:
            return ClaimRefused(refusals.refuse_forged_key())
        if standing is KeyStanding.UNVERIFIABLE:
            return ClaimRefused(refusals.refuse_owner_gone())
        if self._owns(key):
            return self._claim_own(key, profile)
        return self._claim_elsewhere(key, profile)

    def record_intent(
        self,
        profile: CallProfile,
        attempt: AttemptId,
        now: Instant,
    ) -> None:
        """Record that the call may run from here on."""
        entry = self._find_held(profile)
        if entry is not None:
            entry.verdict = Verdict.MAY_HAVE_RUN

    def settle(
        self,
        profile: CallProfile,
        verdict: Verdict,
        now: Instant,
    ) -> None:
        """Record how a call ended."""
        entry = self._find_held(profile)
        if entry is not None:
            entry.verdict = verdict
            entry.ended_s = now.monotonic_s

    def mint_key(self, organisation: str, now: Instant) -> str:
        """Return a new key of this incarnation, empty once it is sealed."""
        if self._sealed:
            return ''
        self._note_time(now)
        self._minted += 1
        expires_ms = self._now_ms + int(self._window_s * _MS_PER_S)
        return self._signer.write_key(
            self._identity,
            self._life,
            organisation,
            expires_ms,
            f'{self._minted:x}',
        )

    def export_entries(self, now: Instant) -> tuple[str, ...]:
        """Seal this ledger and return it in parts for peers.

        From here on nothing is granted, so that what the parts say stays
        true. A ledger that never minted a key has nothing to hand over.
        """
        self._sealed = True
        self._note_time(now)
        if not self._minted:
            return ()
        handed = tuple(
            HandedEntry(nonce, _tell_final(entry), entry.body)
            for nonce, entry in self._entries.items()
        )
        return write_parts(
            self._identity,
            self._life,
            self._now_ms,
            handed,
            self._signer,
        )

    def adopt_entries(self, text: str, now: Instant) -> bool:
        """Take over a part of a stopping peer's ledger.

        :return: whether this instance now answers for that part.
        """
        part = read_part(text, self._signer)
        if part is None or part.identity == self._identity:
            return False
        return self._adopted.adopt(part, self._window_s, now)

    def expire(self, now: Instant) -> None:
        """Forget keys that expired and whose window after use has passed."""
        self._note_time(now)
        self._adopted.expire(now)
        self._end_lost(now)
        horizon_s = now.monotonic_s - self._window_s
        stale = tuple(
            nonce
            for nonce, entry in self._entries.items()
            if entry.ended_s is not None
            and entry.ended_s <= horizon_s
            and entry.expires_ms <= self._now_ms
        )
        for nonce in stale:
            del self._entries[nonce]

    def _end_lost(self, now: Instant) -> None:
        # A request that was dropped without its end, as by an error, must
        # not keep its key in use for ever.
        for entry in self._entries.values():
            late_s = now.monotonic_s - entry.deadline_s
            if entry.ended_s is None and late_s > LOST_REQUEST_S:
                entry.verdict = Verdict.MAY_HAVE_RUN
                entry.ended_s = now.monotonic_s

    def _claim_own(self, key: MintedKey, profile: CallProfile) -> Claim:
        body = profile.body_digest[:BODY_DIGITS]
        entry = self._entries.get(key.nonce)
        if entry is None:
            return self._claim_first(key, profile, body)
        if entry.body != body:
            return ClaimRefused(refusals.refuse_other_body())
        if entry.ended_s is None:
            return ClaimRefused(refusals.refuse_running())
        if entry.verdict is not Verdict.NOT_RUN:
            return ClaimRefused(refusals.refuse_used(entry.verdict))
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
        body: str,
    ) -> Claim:
        # What expired may have been used and forgotten.
        if key.expires_ms <= self._now_ms:
            return ClaimRefused(refusals.refuse_expired_key())
        if self._sealed:
            return ClaimRefused(refusals.refuse_retired_key())
        if len(self._entries) >= self._maximum_entries:
            return ClaimRefused(refusals.refuse_full(self._maximum_entries))
        entry = _Entry(
            profile.request_id,
            body,
            key.expires_ms,
            profile.deadline_s,
        )
        self._entries[key.nonce] = entry
        return ClaimGranted()

    def _claim_elsewhere(self, key: MintedKey, profile: CallProfile) -> Claim:
        adopted = self._adopted.find(key)
        if adopted is not None:
            verdict = adopted.find_verdict(key)
            entry = adopted.entries.get(key.nonce)
            body = profile.body_digest[:BODY_DIGITS]
            if entry is not None and entry.body != body:
                return ClaimRefused(refusals.refuse_other_body())
            return ClaimRefused(_refuse_adopted(verdict, entry is not None))
        # A key of an earlier life of this name has no owner any more.
        if profile.forwarded or key.owner.name == self._identity.name:
            return ClaimRefused(refusals.refuse_owner_gone())
        return ClaimForwarded(key.owner.name, key.owner.incarnation)

    def _owns(self, key: MintedKey) -> bool:
        return key.owner == self._identity and key.life == self._life

    def _find_held(self, profile: CallProfile) -> _Entry | None:
        key = parse_key(profile.key)
        if key is None or not self._owns(key):
            return None
        entry = self._entries.get(key.nonce)
        if entry is None or entry.request_id != profile.request_id:
            return None
        return entry

    def _note_time(self, now: Instant) -> None:
        if self._anchor is None:
            self._anchor = now
        elapsed_s = now.monotonic_s - self._anchor.monotonic_s
        self._now_ms = int((self._anchor.wall_s + elapsed_s) * _MS_PER_S)


def _tell_final(entry: _Entry) -> Verdict:
    if entry.ended_s is None:
        return Verdict.MAY_HAVE_RUN
    return entry.verdict


def _refuse_adopted(verdict: Verdict, known: bool) -> Refusal:
    if verdict is Verdict.NOT_RUN:
        return refusals.refuse_retired_key()
    if known:
        return refusals.refuse_used(verdict)
    return refusals.refuse_owner_gone()


def make_owned_key_ledger(
    identity: InstanceIdentity,
    secret: str,
    life: str,
    maximum_entries: int = MAXIMUM_ENTRIES,
) -> OwnedKeyLedger:
    """Return an empty ledger of one incarnation.

    :param secret: secret shared by the deployment, which signs keys.
    :param life: token without ``~`` that no other start of this instance has.
    """
    signer = make_key_signer(secret)
    return OwnedKeyLedger(identity, life, signer, maximum_entries)
