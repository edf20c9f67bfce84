"""Keeps one call from targets while it has a quarantined trait."""

from typing import NoReturn

from attrs import define, field

from trefoilhinge.dispatch.calls import Call
from trefoilhinge.dispatch.crash_evidence import EVENTS_UNDER_WAY
from trefoilhinge.dispatch.permits import PermitRequest, PermitVerdict
from trefoilhinge.dispatch.quarantine import QuarantinedTrait
from trefoilhinge.dispatch.traits import is_part, list_traits
from trefoilhinge.gateway.peer_exchange import PeerExchange
from trefoilhinge.gateway.progress import CallProgress
from trefoilhinge.gateway.refusals import CallFailed, make_quarantine_refusal
from trefoilhinge.gateway.state import GatewayState


@define
class QuarantineGate:
    """Decides whether one call may be sent to a target."""

    _state: GatewayState
    _peers: PeerExchange
    _call: Call
    _progress: CallProgress
    _traits: tuple[str, ...] | None = field(default=None, init=False)
    _cleared_revision: int = field(default=0, init=False)

    def check(self) -> None:
        """Refuse the call at once if it cannot be sent.

        :raises CallFailed: it has a quarantined trait and cannot be a probe.
        """
        entries = self._find_quarantined()
        if entries and not self._may_probe(entries):
            self._refuse(entries)

    async def enter(self) -> None:
        """Make sure, right before it is sent, that the call may be.

        :raises CallFailed: it may not.
        """
        entries = self._find_quarantined()
        if not entries:
            return
        if not self._may_probe(entries):
            self._refuse(entries)
        for entry in entries:
            if not await self._acquire_probe(entry):
                self._refuse(entries)
            self._state.log.write(
                'probe_granted',
                request=self._call.head.request_id,
                trait=entry.trait,
                crashes=entry.crashes,
                probes=entry.probes,
            )

    def record_event(self) -> None:
        """Clear the traits of the call once its answer is under way."""
        if self._progress.attempt_events >= EVENTS_UNDER_WAY:
            self.record_answer()

    def record_answer(self) -> None:
        """Clear the traits of the call, as its answer is complete."""
        revision = self._peers.quarantine.revision
        if self._cleared_revision != revision:
            self._cleared_revision = revision
            self._peers.quarantine.clear(self._get_traits())

    def _find_quarantined(self) -> list[QuarantinedTrait]:
        if self._state.quarantine.is_empty:
            return []
        return self._state.quarantine.find(self._get_traits())

    def _may_probe(self, entries: list[QuarantinedTrait]) -> bool:
        """Return whether the call may be a probe of all its traits.

        One with several quarantined parts would not tell which is at fault.
        """
        now_s = self._state.get_now_s()
        parts = sum(is_part(entry.trait) for entry in entries)
        return parts <= 1 and all(entry.may_probe(now_s) for entry in entries)

    async def _acquire_probe(self, entry: QuarantinedTrait) -> bool:
        decision = await self._peers.permits.acquire(
            PermitRequest(
                self._state.origin,
                self._state.make_run_number(),
                entry.trait,
                started_ms=0,
                priority=self._call.priority,
                patience_s=0,
            ),
            has_alternative=bool,
        )
        return decision.verdict is PermitVerdict.granted

    def _get_traits(self) -> tuple[str, ...]:
        if self._traits is None:
            self._traits = list_traits(self._call)
        return self._traits

    def _refuse(self, entries: list[QuarantinedTrait]) -> NoReturn:
        self._peers.quarantine.record_refusal(entries)
        self._state.metrics.increment('calls_quarantined')
        now_s = self._state.get_now_s()
        for entry in entries:
            suspect = self._state.crash_evidence.get(entry.trait)
            self._state.log.write(
                'call_quarantined',
                request=self._call.head.request_id,
                trait=entry.trait,
                crashes=entry.crashes,
                crashed_s=now_s - entry.crashed_s,
                probes=entry.probes,
                targets=','.join(name for name, _ in suspect.targets)
                if suspect
                else None,
            )
        raise CallFailed(
            make_quarantine_refusal(self._progress, entries, now_s)
        )
