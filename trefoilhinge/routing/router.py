"""Places each call on the target with the least outstanding tokens."""

from attrs import define, frozen

from trefoilhinge.conf.generated.document import Document, Service
from trefoilhinge.conf.generated.messages import ChargeWord
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.events import AttemptOutcome
from trefoilhinge.core.identifiers import AttemptId, InstanceName, TargetName
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.core.reports import CacheEvent, LoadReport
from trefoilhinge.core.verdicts import RefusalCode, refuse_not_run
from trefoilhinge.groups.planner import Candidate, needs_group, plan
from trefoilhinge.node.parts import (
    Deferred,
    Impossible,
    PlacedOn,
    Placement,
    TargetView,
)

DEFERRAL_S = 0.5


@frozen
class _Charge:
    targets: tuple[TargetName, ...]
    tokens: int


@define
class LeastTokensRouter:
    """Chooses the target with the least tokens that this instance sent."""

    _services: dict[str, Service]
    _targets: dict[str, tuple[TargetView, ...]]
    _charges: dict[AttemptId, _Charge]
    _outstanding: dict[TargetName, int]
    _running: dict[TargetName, int]

    def configure(self, document: Document) -> None:
        """Take a document that is now in force."""
        self._services = {one.name: one for one in document.services}

    def update_targets(
        self,
        service: str,
        targets: tuple[TargetView, ...],
        now: Instant,
    ) -> None:
        """Take the whole list of a service's targets."""
        self._targets[service] = targets

    def place(
        self,
        profile: CallProfile,
        avoid: frozenset[TargetName],
        now: Instant,
    ) -> Placement:
        """Choose the target with the least outstanding tokens."""
        service = self._services.get(profile.service)
        if service is None:
            return Impossible(
                refuse_not_run(
                    RefusalCode.NO_TARGET,
                    f'There is no service named {profile.service!r}.',
                ),
            )
        if needs_group(profile, service):
            return plan(profile, service, self._list_candidates(service), now)
        usable = [
            one
            for one in self._targets.get(profile.service, ())
            if not one.leaving
            and self._running.get(one.name, 0) < service.maximum_running
        ]
        preferred = [one for one in usable if one.name not in avoid] or usable
        if not preferred:
            return Deferred(now.monotonic_s + DEFERRAL_S)
        return PlacedOn(
            min(
                preferred,
                key=lambda one: (self._outstanding.get(one.name, 0), one.name),
            ),
        )

    def charge(
        self,
        attempt: AttemptId,
        profile: CallProfile,
        targets: tuple[TargetName, ...],
        now: Instant,
    ) -> None:
        """Charge an attempt to its targets."""
        tokens = profile.total_tokens // max(1, len(targets))
        self._charges[attempt] = _Charge(targets, tokens)
        for name in targets:
            self._outstanding[name] = self._outstanding.get(name, 0) + tokens
            self._running[name] = self._running.get(name, 0) + 1

    def note_first_token(self, attempt: AttemptId, now: Instant) -> None:
        """Take no notice: the whole charge stays until the end."""

    def release(
        self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        now: Instant,
    ) -> None:
        """Drop an attempt's charge."""
        charge = self._charges.pop(attempt, None)
        if charge is None:
            return
        for name in charge.targets:
            self._outstanding[name] -= charge.tokens
            self._running[name] -= 1

    def note_load(
        self,
        target: TargetName,
        report: LoadReport | None,
        now: Instant,
    ) -> None:
        """Take no notice of reports."""

    def note_cache_events(
        self,
        target: TargetName,
        cache_events: tuple[CacheEvent, ...],
        now: Instant,
    ) -> None:
        """Take no notice of caches."""

    def note_peer_charges(
        self,
        peer: InstanceName,
        charges: tuple[ChargeWord, ...],
        now: Instant,
    ) -> None:
        """Take no notice of peers."""

    def list_charges(self, limit: int) -> tuple[ChargeWord, ...]:
        """Return this instance's charges, largest first."""
        ranked = sorted(
            self._outstanding.items(),
            key=lambda pair: -pair[1],
        )
        return tuple(
            ChargeWord(
                target=name,
                tokens=tokens,
                calls=self._running.get(name, 0),
            )
            for name, tokens in ranked[:limit]
            if tokens > 0
        )

    def estimate_wait_s(self, profile: CallProfile, now: Instant) -> float:
        """Estimate the prefill time alone."""
        service = self._services[profile.service]
        return profile.prompt_tokens / service.prefill_tokens_per_s

    def _list_candidates(self, service: Service) -> list[Candidate]:
        """Return every engine; a leaving or a full one has nothing free."""
        return [
            Candidate(one, self._count_free(one, service))
            for one in self._targets.get(service.name, ())
        ]

    def _count_free(self, target: TargetView, service: Service) -> int:
        running = self._running.get(target.name, 0)
        if target.leaving or running >= service.maximum_running:
            return 0
        return service.memory_tokens - self._outstanding.get(target.name, 0)


def make_least_tokens_router() -> LeastTokensRouter:
    """Return a router that knows no target yet."""
    return LeastTokensRouter({}, {}, {}, {}, {})
