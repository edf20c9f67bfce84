"""Remembers keys of this incarnation and refuses a second run."""

from attrs import define

from trefoilhinge.conf.generated.document import Document
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.identifiers import AttemptId, InstanceIdentity
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.core.verdicts import (
    Refusal,
    RefusalCode,
    Verdict,
    refuse_not_run,
)
from trefoilhinge.node.parts import Claim, ClaimGranted, ClaimRefused


@define
class _Entry:
    verdict: Verdict
    ended_s: float | None


@define
class LocalLedger:
    """Keeps each key to one run within this incarnation."""

    _identity: InstanceIdentity
    _entries: dict[str, _Entry]
    _window_s: float = 900

    def configure(self, document: Document) -> None:
        """Take a document that is now in force."""
        self._window_s = document.time_limits.key_window_s

    def claim(self, profile: CallProfile, now: Instant) -> Claim:
        """Grant a key once."""
        if profile.idempotent or not profile.key:
            return ClaimGranted()
        name = f'{profile.organisation}/{profile.key}'
        entry = self._entries.get(name)
        if entry is None:
            self._entries[name] = _Entry(Verdict.NOT_RUN, None)
            return ClaimGranted()
        if entry.ended_s is None:
            return ClaimRefused(
                Refusal(
                    RefusalCode.KEY_IN_USE,
                    entry.verdict,
                    'A request with this Idempotency-Key is still running.',
                ),
            )
        if entry.verdict is Verdict.NOT_RUN:
            entry.ended_s = None
            return ClaimGranted()
        return ClaimRefused(
            Refusal(
                RefusalCode.ALREADY_RAN,
                entry.verdict,
                'A request with this Idempotency-Key was already sent.',
            ),
        )

    def record_intent(
        self,
        profile: CallProfile,
        attempt: AttemptId,
        now: Instant,
    ) -> None:
        """Record that the call may run from here on."""
        entry = self._entries.get(f'{profile.organisation}/{profile.key}')
        if entry is not None:
            entry.verdict = Verdict.MAY_HAVE_RUN

    def settle(
        self,
        profile: CallProfile,
        verdict: Verdict,
        now: Instant,
    ) -> None:
        """Record how a call ended."""
        entry = self._entries.get(f'{profile.organisation}/{profile.key}')
        if entry is not None:
            entry.verdict = verdict
            entry.ended_s = now.monotonic_s

    def mint_key(self, organisation: str, now: Instant) -> str:
        """Refuse: keys are the caller's until owners are named in them."""
        raise NotImplementedError(organisation)

    def export_entries(self, now: Instant) -> str:
        """Return nothing yet."""
        return ''

    def adopt_entries(self, text: str, now: Instant) -> None:
        """Take over nothing yet."""

    def expire(self, now: Instant) -> None:
        """Forget what ended longer ago than the window."""
        horizon = now.monotonic_s - self._window_s
        self._entries = {
            name: entry
            for name, entry in self._entries.items()
            if entry.ended_s is None or entry.ended_s > horizon
        }


def make_local_ledger(identity: InstanceIdentity) -> LocalLedger:
    """Return an empty ledger of one incarnation."""
    return LocalLedger(identity, {})


def refuse_key(message: str) -> ClaimRefused:
    """Return a refusal of a key that was never granted."""
    return ClaimRefused(refuse_not_run(RefusalCode.KEY_UNKNOWN, message))
