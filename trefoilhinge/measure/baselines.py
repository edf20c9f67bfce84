"""Baseline routing policies that the default policy is compared with."""

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
    """Work that was placed and has not ended, of one attempt or one target.

    :ivar tokens: prompt and output tokens.
    :ivar calls: number of calls.
    :ivar targets: targets that an attempt is charged to; empty for the sums of
        a target.
    """

    tokens: int = 0
    calls: int = 0
    targets: tuple[TargetName, ...] = ()


SelectionRule = Callable[
    ['BaselineRouter', CallProfile, Sequence[TargetView]],
    TargetView,
]


@define
class BaselineRouter:
    """Router that places each call by one rule, using local state only.

    :ivar select: rule that selects one of the targets that are not draining.
    :ivar generator: source of random choices.
    :ivar placement_count: number of placements so far, counted from a random
        start, so that the round robins of two instances differ.
    """

    select: SelectionRule
    generator: np.random.Generator
    placement_count: int = 0
    _services: dict[str, Service] = field(factory=dict)
    _targets: dict[str, tuple[TargetView, ...]] = field(factory=dict)
    _charges: dict[AttemptId, _Outstanding] = field(factory=dict)
    _outstanding: dict[TargetName, _Outstanding] = field(factory=dict)
    _load_reports: dict[TargetName, LoadReport] = field(factory=dict)

    def configure(self, document: Document) -> None:
        """Apply a document that is now in force."""
        self._services = {
            service.name: service for service in document.services
        }

    def update_targets(
        self,
        service: str,
        targets: tuple[TargetView, ...],
        now: Instant,
    ) -> None:
        """Replace the list of targets of a service."""
        self._targets[service] = targets

    def place(
        self,
        profile: CallProfile,
        avoid: frozenset[TargetName],
        now: Instant,
    ) -> Placement:
        """Place a call on a target, or a group of targets, that can hold it.

        Targets that are draining are not used.
        """
        service = self._services[profile.service]
        usable = [
            target
            for target in self._targets.get(profile.service, ())
            if not target.leaving
        ]
        if needs_group(profile, service):
            candidates = [
                Candidate(target, self._get_free_tokens(target, service))
                for target in usable
            ]
            return plan_group(profile, service, candidates, now)
        preferred = [
            target for target in usable if target.name not in avoid
        ] or usable
        if not preferred:
            return Deferred(now.monotonic_s + DEFERRAL_S)
        self.placement_count += 1
        return TargetPlacement(self.select(self, profile, preferred))

    def charge(
        self,
        attempt: AttemptId,
        profile: CallProfile,
        targets: tuple[TargetName, ...],
        now: Instant,
    ) -> None:
        """Charge an attempt to the targets it was placed on."""
        charge = _Outstanding(profile.total_tokens, 1, targets)
        self._charges[attempt] = charge
        for name in targets:
            outstanding = self._outstanding.setdefault(name, _Outstanding())
            outstanding.tokens += charge.tokens
            outstanding.calls += 1

    def release(
        self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        now: Instant,
    ) -> None:
        """Remove an attempt's charge."""
        charge = self._charges.pop(attempt, _Outstanding())
        for name in charge.targets:
            self._outstanding[name].tokens -= charge.tokens
            self._outstanding[name].calls -= 1

    def note_first_token(self, attempt: AttemptId, now: Instant) -> None:
        """Ignore the first token; a charge stays until its attempt ends."""

    def note_load(
        self,
        target: TargetName,
        report: LoadReport | None,
        now: Instant,
    ) -> None:
        """Record the latest load report."""
        if report is not None:
            self._load_reports[target] = report

    def note_cache_events(
        self,
        target: TargetName,
        cache_events: tuple[CacheEvent, ...],
        now: Instant,
    ) -> None:
        """Ignore cache events."""

    def note_peer_charges(
        self,
        peer: InstanceName,
        charges: tuple[ChargeWord, ...],
        now: Instant,
    ) -> None:
        """Ignore the charges of peers."""

    def list_charges(self, limit: int) -> tuple[ChargeWord, ...]:
        """Return no charges; baselines do not share state."""
        return ()

    def estimate_ttft_s(self, profile: CallProfile, now: Instant) -> float:
        """Estimate the prefill time, without queueing, in seconds."""
        service = self._services[profile.service]
        return profile.prompt_tokens / service.prefill_tokens_per_s

    def _get_free_tokens(self, target: TargetView, service: Service) -> int:
        report = self._load_reports.get(target.name)
        return service.memory_tokens if report is None else report.free_tokens

    def count_requests(self, target: TargetView) -> int:
        """Return the requests at a target.

        :return: the larger of the local count and the last reported one.
        """
        report = self._load_reports.get(target.name)
        outstanding = self._outstanding.get(target.name, _Outstanding())
        return max(outstanding.calls, report.running if report else 0)

    def count_tokens(self, target: TargetView) -> int:
        """Return the outstanding tokens at a target.

        :return: the larger of the local count and the last reported one.
        """
        report = self._load_reports.get(target.name)
        outstanding = self._outstanding.get(target.name, _Outstanding())
        return max(outstanding.tokens, report.queued_tokens if report else 0)


def _select_random(
    router: BaselineRouter,
    profile: CallProfile,
    targets: Sequence[TargetView],
) -> TargetView:
    return targets[int(router.generator.integers(len(targets)))]


def _select_round_robin(
    router: BaselineRouter,
    profile: CallProfile,
    targets: Sequence[TargetView],
) -> TargetView:
    return targets[router.placement_count % len(targets)]


def _select_least_requests(
    router: BaselineRouter,
    profile: CallProfile,
    targets: Sequence[TargetView],
) -> TargetView:
    counts = [router.count_requests(target) for target in targets]
    return _select_least(router, counts, targets)


def _select_least_tokens(
    router: BaselineRouter,
    profile: CallProfile,
    targets: Sequence[TargetView],
) -> TargetView:
    counts = [router.count_tokens(target) for target in targets]
    return _select_least(router, counts, targets)


def _select_least(
    router: BaselineRouter,
    counts: list[int],
    targets: Sequence[TargetView],
) -> TargetView:
    least = min(counts)
    ties = [index for index, count in enumerate(counts) if count == least]
    return targets[ties[int(router.generator.integers(len(ties)))]]


def _select_by_prefix(
    router: BaselineRouter,
    profile: CallProfile,
    targets: Sequence[TargetView],
) -> TargetView:
    """Select by rendezvous hashing of the first block of the prefix."""
    first = str(profile.prefix_digests[:1])
    return max(
        targets,
        key=lambda target: xxhash.xxh64_intdigest(
            f'{target.name}{first}'.encode()
        ),
    )


BASELINES: dict[str, SelectionRule] = {
    'random': _select_random,
    'round_robin': _select_round_robin,
    'least_requests': _select_least_requests,
    'least_tokens': _select_least_tokens,
    'prefix_hash': _select_by_prefix,
}


def make_baseline_router(name: str, seed: int) -> Router:
    """Return a router of a baseline policy.

    :param name: a key of ``BASELINES``.
    :param seed: seed of the router's random choices.
    """
    generator = np.random.default_rng(seed)
    return BaselineRouter(
        BASELINES[name],
        generator,
        placement_count=int(generator.integers(1 << 16)),
    )
