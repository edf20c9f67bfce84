"""Simple routing policies that the default is measured against."""

from collections.abc import Callable, Sequence

import numpy as np
import xxhash
from attrs import define, field

from trefoilhinge.conf.generated.document import Document, Service
from trefoilhinge.conf.generated.messages import ChargeWord
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.events import AttemptOutcome
from trefoilhinge.core.identifiers import AttemptId, InstanceName, TargetName
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.core.reports import CacheEvent, LoadReport
from trefoilhinge.groups.planner import Candidate, needs_group, plan_group
from trefoilhinge.membership.interfaces import TargetView
from trefoilhinge.routing.interfaces import (
    Deferred,
    Placement,
    Router,
    TargetPlacement,
)

DEFERRAL_S = 0.5


@define
class _Outstanding:
    tokens: int = 0
    calls: int = 0
    targets: tuple[TargetName, ...] = ()


Chooser = Callable[
    ['BaselineRouter', CallProfile, Sequence[TargetView]],
    TargetView,
]


@define
class BaselineRouter:
    """Places each call by one simple rule on what this instance knows.

    :ivar choose: picks one of the targets that are not leaving.
    :ivar turns: placements so far.
    """

    choose: Chooser
    generator: np.random.Generator
    turns: int = 0
    _services: dict[str, Service] = field(factory=dict)
    _targets: dict[str, tuple[TargetView, ...]] = field(factory=dict)
    _charges: dict[AttemptId, _Outstanding] = field(factory=dict)
    _own: dict[TargetName, _Outstanding] = field(factory=dict)
    _reports: dict[TargetName, LoadReport] = field(factory=dict)

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
        """Choose among targets that do not leave and can hold the call."""
        service = self._services[profile.service]
        usable = [
            one
            for one in self._targets.get(profile.service, ())
            if not one.leaving
        ]
        if needs_group(profile, service):
            candidates = [
                Candidate(one, self._find_free(one, service)) for one in usable
            ]
            return plan_group(profile, service, candidates, now)
        preferred = [one for one in usable if one.name not in avoid] or usable
        if not preferred:
            return Deferred(now.monotonic_s + DEFERRAL_S)
        self.turns += 1
        return TargetPlacement(self.choose(self, profile, preferred))

    def charge(
        self,
        attempt: AttemptId,
        profile: CallProfile,
        targets: tuple[TargetName, ...],
        now: Instant,
    ) -> None:
        """Charge an attempt to its targets."""
        charge = _Outstanding(profile.total_tokens, 1, targets)
        self._charges[attempt] = charge
        for name in targets:
            own = self._own.setdefault(name, _Outstanding())
            own.tokens += charge.tokens
            own.calls += 1

    def release(
        self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        now: Instant,
    ) -> None:
        """Drop an attempt's charge."""
        charge = self._charges.pop(attempt, _Outstanding())
        for name in charge.targets:
            self._own[name].tokens -= charge.tokens
            self._own[name].calls -= 1

    def note_first_token(self, attempt: AttemptId, now: Instant) -> None:
        """Take no notice."""

    def note_load(
        self,
        target: TargetName,
        report: LoadReport | None,
        now: Instant,
    ) -> None:
        """Keep the last report."""
        if report is not None:
            self._reports[target] = report

    def note_cache_events(
        self,
        target: TargetName,
        cache_events: tuple[CacheEvent, ...],
        now: Instant,
    ) -> None:
        """Take no notice."""

    def note_peer_charges(
        self,
        peer: InstanceName,
        charges: tuple[ChargeWord, ...],
        now: Instant,
    ) -> None:
        """Take no notice."""

    def list_charges(self, limit: int) -> tuple[ChargeWord, ...]:
        """Tell nothing."""
        return ()

    def estimate_ttft_s(self, profile: CallProfile, now: Instant) -> float:
        """Estimate the prefill time alone."""
        service = self._services[profile.service]
        return profile.prompt_tokens / service.prefill_tokens_per_s

    def _find_free(self, target: TargetView, service: Service) -> int:
        report = self._reports.get(target.name)
        return service.memory_tokens if report is None else report.free_tokens

    def count_requests(self, target: TargetView) -> int:
        """Return the requests at a target, by its report and by charges."""
        report = self._reports.get(target.name)
        own = self._own.get(target.name, _Outstanding())
        return max(own.calls, report.running if report else 0)

    def count_tokens(self, target: TargetView) -> int:
        """Return the tokens at a target, by its report and by charges."""
        report = self._reports.get(target.name)
        own = self._own.get(target.name, _Outstanding())
        return max(own.tokens, report.queued_tokens if report else 0)


def _choose_random(
    router: BaselineRouter,
    profile: CallProfile,
    targets: Sequence[TargetView],
) -> TargetView:
    return targets[int(router.generator.integers(len(targets)))]


def _choose_in_turn(
    router: BaselineRouter,
    profile: CallProfile,
    targets: Sequence[TargetView],
) -> TargetView:
    return targets[router.turns % len(targets)]


def _choose_least_requests(
    router: BaselineRouter,
    profile: CallProfile,
    targets: Sequence[TargetView],
) -> TargetView:
    counts = [router.count_requests(one) for one in targets]
    return _choose_least(router, counts, targets)


def _choose_least_tokens(
    router: BaselineRouter,
    profile: CallProfile,
    targets: Sequence[TargetView],
) -> TargetView:
    counts = [router.count_tokens(one) for one in targets]
    return _choose_least(router, counts, targets)


def _choose_least(
    router: BaselineRouter,
    counts: list[int],
    targets: Sequence[TargetView],
) -> TargetView:
    least = min(counts)
    ties = [place for place, count in enumerate(counts) if count == least]
    return targets[ties[int(router.generator.integers(len(ties)))]]


def _choose_by_prefix(
    router: BaselineRouter,
    profile: CallProfile,
    targets: Sequence[TargetView],
) -> TargetView:
    first = str(profile.prefix_digests[:1])
    return max(
        targets,
        key=lambda one: xxhash.xxh64_intdigest(f'{one.name}{first}'.encode()),
    )


BASELINES: dict[str, Chooser] = {
    'random': _choose_random,
    'round_robin': _choose_in_turn,
    'least_requests': _choose_least_requests,
    'least_tokens': _choose_least_tokens,
    'prefix_hash': _choose_by_prefix,
}


def make_baseline_router(name: str, seed: int) -> Router:
    """Return a router of a baseline policy.

    :param name: a key of ``BASELINES``.
    """
    generator = np.random.default_rng(seed)
    return BaselineRouter(
        BASELINES[name],
        generator,
        turns=int(generator.integers(1 << 16)),
    )
