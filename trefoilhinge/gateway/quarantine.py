"""Evidence of crashes and quarantined traits, pooled by all instances.

Each instance reports the crashes that it sees to all others and decides on its
own from what all have seen. What one decides the others adopt, unless they
know better.
"""

import asyncio
import functools
from collections.abc import Callable, Iterable

from attrs import define, field

from trefoilhinge.dispatch.calls import Call
from trefoilhinge.dispatch.crash_evidence import CrashReport, Suspect
from trefoilhinge.dispatch.message_checks import MAXIMUM_TRANSIT_S
from trefoilhinge.dispatch.messages import (
    Message,
    QuarantineMessage,
    TargetCrashed,
    TraitQuarantined,
    TraitsCleared,
)
from trefoilhinge.dispatch.quarantine import (
    ANNOUNCEMENT_INTERVAL_S,
    QuarantinedTrait,
)
from trefoilhinge.dispatch.quarantine_codec import MAXIMUM_TRAITS
from trefoilhinge.dispatch.targets import TargetRecord
from trefoilhinge.dispatch.traits import list_traits
from trefoilhinge.gateway.state import GatewayState

REPEAT_DELAY_S = 0.3  # of a report, as the first may be lost
# A restart of all instances forgets which traits were probed, so instances that
# have run for less time assume that a new trait was.
YOUNG_INSTANCE_S = 60.0
ASSUMED_PROBES = 1

Send = Callable[[Message], None]


@define
class Quarantine:
    """Pools evidence with the other instances.

    :ivar broadcast: sends a message to all instances, with relays.
    :ivar send_to_each: sends a message to each instance directly.
    :ivar revision: number that grows with what is suspected or quarantined,
        zero while nothing was. A call that has cleared its traits need not do
        so again before it grows.
    """

    _state: GatewayState
    broadcast: Send
    send_to_each: Send
    revision: int = 0
    _repeats: set[asyncio.TimerHandle] = field(factory=set)

    def report_crash(
        self,
        record: TargetRecord,
        call: Call,
        sent_s: float,
        crashed_s: float,
    ) -> None:
        """Record a crash that this instance saw, and tell the others."""
        traits = list_traits(call)
        organisation = call.organisation.name if call.organisation else ''
        for first in range(0, len(traits), MAXIMUM_TRAITS):
            report = CrashReport(
                record.name,
                record.started_ms,
                organisation,
                traits[first : first + MAXIMUM_TRAITS],
                sent_s,
                crashed_s,
            )
            self._send_report(report)
            self._repeat_later(report)
            self._apply_report(report, self._state.settings.ip)

    def clear(self, traits: Iterable[str]) -> None:
        """Record that a call with these traits is under way at a target."""
        now_s = self._state.get_now_s()
        cleared = self._apply_cleared(traits, now_s, 'answer')
        for first in range(0, len(cleared), MAXIMUM_TRAITS):
            part = tuple(cleared[first : first + MAXIMUM_TRAITS])
            self.broadcast(TraitsCleared(part, 0))

    def record_refusal(self, entries: Iterable[QuarantinedTrait]) -> None:
        """Record that a call was refused; announce its traits now and then."""
        now_s = self._state.get_now_s()
        for entry in entries:
            entry.seen_s = now_s
            if now_s - entry.announced_s >= ANNOUNCEMENT_INTERVAL_S:
                entry.announced_s = now_s
                self.broadcast(_announce(entry, now_s))

    def grant_probe(self, trait: str) -> bool:
        """Grant a probe if one is due, as the owner; tell the others."""
        now_s = self._state.get_now_s()
        if not self._state.quarantine.grant_probe(trait, now_s):
            return False
        self._state.metrics.increment('quarantine_probes')
        for entry in self._state.quarantine.find([trait]):
            self.send_to_each(_announce(entry, now_s))
        return True

    def list_announcements(self) -> list[TraitQuarantined]:
        """Return all quarantined traits, for an instance that starts."""
        now_s = self._state.get_now_s()
        return [
            _announce(entry, now_s)
            for entry in self._state.quarantine.list_all()
        ]

    def apply_message(self, message: QuarantineMessage, ip: str) -> None:
        """Apply a message of another instance.

        :param ip: address of its sender, for the log.
        """
        now_s = self._state.get_now_s()
        match message:
            case TargetCrashed(report):
                self._apply_report(report, ip)
            case TraitQuarantined():
                self._apply_announcement(message, ip)
            case TraitsCleared(traits, age_s):
                self._apply_cleared(traits, now_s - age_s, f'peer {ip}')

    def remove_expired(self) -> None:
        """Remove traits that no call had for long."""
        state = self._state
        for entry in state.quarantine.expire(state.get_now_s()):
            state.log.write('trait_freed', trait=entry.trait, reason='expired')
        state.metrics.set_gauge(
            'traits_suspected', state.crash_evidence.count()
        )
        state.metrics.set_gauge('traits_quarantined', state.quarantine.count())

    def close(self) -> None:
        """Cancel all timers."""
        for timer in self._repeats:
            timer.cancel()

    def _send_report(self, report: CrashReport) -> None:
        self.send_to_each(TargetCrashed(report, self._state.get_now_s()))

    def _repeat_later(self, report: CrashReport) -> None:
        self._repeats = {
            timer
            for timer in self._repeats
            if timer.when() > self._state.get_now_s()
        }
        self._repeats.add(
            asyncio.get_running_loop().call_later(
                REPEAT_DELAY_S, functools.partial(self._send_report, report)
            )
        )

    def _apply_report(self, report: CrashReport, ip: str) -> None:
        state = self._state
        self.revision += 1
        known = []
        for entry in state.quarantine.find(report.traits):
            entry.crashed_s = max(entry.crashed_s, report.crashed_s)
            known.append(entry.trait)
        for suspect in state.crash_evidence.record(report, known):
            is_new = state.quarantine.get(suspect.trait) is None
            state.quarantine.record(
                suspect.trait,
                len(suspect.targets),
                suspect.crashed_s,
                state.get_now_s(),
                self._assume_probes() if is_new else 0,
            )
            if is_new:
                self._announce_quarantine(suspect, ip)

    def _assume_probes(self) -> int:
        """Return the probes that a new trait may have had before."""
        runs_s = self._state.get_now_s() - self._state.started_s
        return ASSUMED_PROBES if runs_s < YOUNG_INSTANCE_S else 0

    def _announce_quarantine(self, suspect: Suspect, ip: str) -> None:
        """Announce a trait that this instance has quarantined.

        :param ip: address of the instance that reported the last crash.
        """
        entry = self._state.quarantine.get(suspect.trait)
        if entry is None:
            return
        now_s = self._state.get_now_s()
        self.send_to_each(_announce(entry, now_s))
        self._state.metrics.increment('quarantines')
        self._state.log.write(
            'trait_quarantined',
            trait=suspect.trait,
            crashes=len(suspect.targets),
            succession=suspect.succession,
            targets=','.join(name for name, _ in suspect.targets),
            source=f'crash reported by {ip}',
        )

    def _apply_announcement(self, message: TraitQuarantined, ip: str) -> None:
        """Adopt a quarantine unless the trait was cleared meanwhile."""
        state = self._state
        now_s = state.get_now_s()
        crashed_s = now_s - message.crashed_age_s - MAXIMUM_TRANSIT_S
        cleared_s = state.crash_evidence.find_cleared_s(message.trait)
        if cleared_s >= crashed_s:
            self.broadcast(TraitsCleared((message.trait,), now_s - cleared_s))
            return
        is_new = state.quarantine.record(
            message.trait, message.crashes, crashed_s, now_s, message.probes
        )
        entry = state.quarantine.get(message.trait)
        if entry is not None:
            entry.announced_s = now_s
        if is_new:
            self.revision += 1
            state.log.write(
                'trait_quarantined',
                trait=message.trait,
                crashes=message.crashes,
                probes=message.probes,
                source=f'peer {ip}',
            )

    def _apply_cleared(
        self, traits: Iterable[str], cleared_s: float, source: str
    ) -> list[str]:
        """Clear suspects and free quarantined traits.

        :return: the traits for which this changed anything.
        """
        state = self._state
        changed = []
        for trait in traits:
            is_cleared = state.crash_evidence.clear(trait, cleared_s)
            entry = state.quarantine.free(trait, cleared_s)
            if entry is not None:
                state.log.write(
                    'trait_freed',
                    trait=trait,
                    crashes=entry.crashes,
                    probes=entry.probes,
                    reason=f'cleared by {source}',
                )
            if is_cleared or entry is not None:
                changed.append(trait)
        return changed


def _announce(entry: QuarantinedTrait, now_s: float) -> TraitQuarantined:
    return TraitQuarantined(
        entry.trait, entry.crashes, now_s - entry.crashed_s, entry.probes
    )
