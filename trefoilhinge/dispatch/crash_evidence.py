"""Evidence of which requests crash the targets that run them.

A trait is a property that requests have in common, such as a part of their
prompts. When a target crashes, each call that it had just begun is suspected,
with all its traits. An answer that gets under way clears the traits of its
call. A trait that is not cleared between several crashes in succession is to
be kept from targets.
"""

from collections.abc import Collection, Iterable

from attrs import define, field, frozen

# Crashes in succession after which a trait is to be quarantined. Each counts
# only if its call was sent after the one before: targets that fail together,
# for a reason of their own, count as one crash.
QUARANTINE_CRASHES = 3
# The same for a trait under which many targets crashed at a time.
QUARANTINE_TARGETS = 5
MINIMUM_SUCCESSIVE_CRASHES = 2
# Arrivals of events after which an answer is under way: a request that crashes
# targets does so as they begin to answer.
EVENTS_UNDER_WAY = 3
EVIDENCE_EXPIRY_S = 600.0
MAXIMUM_SUSPECTS = 2_048
MAXIMUM_SUSPECTS_PER_ORGANISATION = 512
MAXIMUM_CLEARED = 4_096
MAXIMUM_EXPLAINED = 256
MAXIMUM_TARGETS_KEPT = 16  # for each suspect

TargetIncarnation = tuple[str, int]


@frozen
class CrashReport:
    """A call under which a target crashed.

    :ivar target: name of the target.
    :ivar started_ms: incarnation of the target.
    :ivar organisation: name of the caller's organisation; empty if none.
    :ivar traits: traits of the call.
    :ivar sent_s: monotonic seconds at which the call was sent to the target.
    :ivar crashed_s: monotonic seconds at which its answer broke.
    """

    target: str
    started_ms: int
    organisation: str
    traits: tuple[str, ...]
    sent_s: float
    crashed_s: float

    @property
    def incarnation(self) -> TargetIncarnation:
        """Return the incarnation of the target that crashed."""
        return self.target, self.started_ms


@define
class Suspect:
    """A trait under which targets crashed since it was last cleared.

    :ivar organisation: organisation of the call that was reported first.
    :ivar targets: targets that crashed, each with whether it counts as one of
        a succession.
    :ivar succession_s: monotonic seconds of the latest crash of the succession.
    :ivar crashed_s: monotonic seconds of the latest crash.
    """

    trait: str
    organisation: str
    targets: dict[TargetIncarnation, bool] = field(factory=dict)
    succession_s: float = float('-inf')
    crashed_s: float = float('-inf')

    @property
    def succession(self) -> int:
        """Return the number of crashes in succession.

        The calls of these were each sent after the crash before.
        """
        return sum(self.targets.values())

    @property
    def needs_quarantine(self) -> bool:
        """Return whether the trait is to be quarantined."""
        if self.succession >= QUARANTINE_CRASHES:
            return True
        return (
            len(self.targets) >= QUARANTINE_TARGETS
            and self.succession >= MINIMUM_SUCCESSIVE_CRASHES
        )

    def record(self, report: CrashReport) -> None:
        """Count a crash; one that several calls report counts once."""
        self.crashed_s = max(self.crashed_s, report.crashed_s)
        if self.targets.get(report.incarnation):
            return
        is_successive = report.sent_s >= self.succession_s
        if is_successive:
            self.succession_s = report.crashed_s
        self.targets[report.incarnation] = is_successive
        if len(self.targets) > MAXIMUM_TARGETS_KEPT:
            self.targets.pop(next(iter(self.targets)))


@define
class CrashEvidence:
    """What the crashes of all targets say about the traits of calls.

    Its size is bounded for all organisations together and for each. Suspects
    with few crashes give way first, so that calls with ever new traits do not
    displace evidence against others.
    """

    _suspects: dict[str, Suspect] = field(factory=dict)
    _cleared_s: dict[str, float] = field(factory=dict)
    _explained: dict[TargetIncarnation, None] = field(factory=dict)

    @property
    def is_empty(self) -> bool:
        """Return whether no trait is suspected."""
        return not self._suspects

    def get(self, trait: str) -> Suspect | None:
        """Return what is known of a trait, if it is suspected."""
        return self._suspects.get(trait)

    def count(self) -> int:
        """Return the number of suspects."""
        return len(self._suspects)

    def list_suspects(self) -> list[Suspect]:
        """Return all suspects, those with most crashes first."""
        return sorted(self._suspects.values(), key=_get_weight, reverse=True)

    def record(
        self, report: CrashReport, known: Collection[str] = ()
    ) -> list[Suspect]:
        """Record a crash.

        :param known: traits of the call that are quarantined. They explain the
            crash, which then says nothing about other traits.
        :return: suspects that are to be quarantined.
        """
        self._expire(report.crashed_s)
        if known:
            self._explain(report.incarnation, known)
        elif report.incarnation in self._explained:
            return []
        found = []
        for trait in known or report.traits:
            if self.find_cleared_s(trait) >= report.crashed_s:
                continue
            suspect = self._suspects.get(trait)
            if suspect is None:
                self._make_room(report.organisation)
                suspect = Suspect(trait, report.organisation)
                self._suspects[trait] = suspect
            suspect.record(report)
            if suspect.needs_quarantine:
                found.append(suspect)
        return found

    def clear(self, trait: str, cleared_s: float) -> bool:
        """Record that a call with a trait was under way at a target.

        :return: whether the trait was suspected.
        """
        before_s = self._cleared_s.pop(trait, float('-inf'))
        self._cleared_s[trait] = max(cleared_s, before_s)
        if len(self._cleared_s) > MAXIMUM_CLEARED:
            self._cleared_s.pop(next(iter(self._cleared_s)))
        suspect = self._suspects.get(trait)
        if suspect is None or suspect.crashed_s > cleared_s:
            return False
        self._suspects.pop(trait)
        return True

    def find_cleared_s(self, trait: str) -> float:
        """Return monotonic seconds at which a trait was last cleared."""
        return self._cleared_s.get(trait, float('-inf'))

    def _explain(
        self, incarnation: TargetIncarnation, known: Collection[str]
    ) -> None:
        """Drop the crash of a target from the evidence against other traits."""
        self._explained[incarnation] = None
        if len(self._explained) > MAXIMUM_EXPLAINED:
            self._explained.pop(next(iter(self._explained)))
        for suspect in tuple(self._suspects.values()):
            if suspect.trait not in known:
                suspect.targets.pop(incarnation, None)
                if not suspect.targets:
                    self._suspects.pop(suspect.trait)

    def _expire(self, now_s: float) -> None:
        for suspect in tuple(self._suspects.values()):
            if now_s - suspect.crashed_s > EVIDENCE_EXPIRY_S:
                self._suspects.pop(suspect.trait)

    def _make_room(self, organisation: str) -> None:
        """Remove a suspect if the organisation or all have too many."""
        own = [
            suspect
            for suspect in self._suspects.values()
            if suspect.organisation == organisation
        ]
        if len(own) >= MAXIMUM_SUSPECTS_PER_ORGANISATION:
            self._remove_weakest(own)
        elif len(self._suspects) >= MAXIMUM_SUSPECTS:
            self._remove_weakest(self._suspects.values())

    def _remove_weakest(self, suspects: Iterable[Suspect]) -> None:
        self._suspects.pop(min(suspects, key=_get_weight).trait)


def _get_weight(suspect: Suspect) -> tuple[int, float]:
    return suspect.succession, suspect.crashed_s
