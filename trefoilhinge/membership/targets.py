"""Targets of each service, and which of them are leaving."""

from collections.abc import Iterable

from attrs import define, evolve, field

from trefoilhinge.conf.generated.document import Document
from trefoilhinge.conf.generated.messages import LeavingWord
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.identifiers import TargetName
from trefoilhinge.core.reports import ListedTarget
from trefoilhinge.membership.interfaces import TargetView

GOSSIPED_LEAVING_TARGETS = 32
MAXIMUM_LEAVING_TARGETS = 8192
# A target of unknown incarnation cannot prove that it restarted, so the record
# that it is leaving expires.
LEAVING_EXPIRY_S = 900.0
UNKNOWN_INCARNATION_GOSSIP_S = 300.0


@define
class _LeavingTarget:
    """Record of a target that is leaving.

    :ivar incarnation: latest incarnation that is leaving, zero if unknown.
    :ivar recorded_s: monotonic seconds at which it was recorded.
    """

    incarnation: int
    recorded_s: float


@define
class TargetTable:
    """Merges the document's targets with the platform's list.

    Where both name a target, the document's entry is used.
    """

    _configured: dict[TargetName, TargetView] = field(factory=dict)
    _listed: dict[TargetName, TargetView] = field(factory=dict)
    _listed_leaving: dict[TargetName, int] = field(factory=dict)
    _leaving: dict[TargetName, _LeavingTarget] = field(factory=dict)
    _incarnations: dict[TargetName, int] = field(factory=dict)
    _services: dict[str, dict[TargetName, TargetView]] = field(factory=dict)
    _views: dict[str, tuple[TargetView, ...]] = field(factory=dict)
    _changed: set[str] = field(factory=set)
    _has_urgent_update: bool = False
    _gossip_offset: int = 0

    def configure(self, document: Document) -> None:
        """Apply the targets of a document."""
        self._configured = {
            TargetName(target.name): TargetView(
                TargetName(target.name),
                target.address,
                target.failure_domain,
                service.name,
            )
            for service in document.services
            for target in service.targets
        }
        self._merge()

    def note_listed(
        self,
        targets: Iterable[ListedTarget],
        now: Instant,
    ) -> None:
        """Record the platform's list of targets, which may be out of date."""
        targets = tuple(targets)
        listed = {
            target.name: TargetView(
                target.name,
                target.address,
                target.failure_domain,
                target.service,
            )
            for target in targets
        }
        if listed != self._listed:
            self._listed = listed
            self._merge()
        leaving = {
            # A list that repeats that a target is leaving refers to the
            # incarnation that was current when it first said so.
            target.name: self._listed_leaving.get(
                target.name,
                self._incarnations.get(target.name, 0),
            )
            for target in targets
            if target.leaving
        }
        self._listed_leaving = leaving
        for name, incarnation in leaving.items():
            self.note_leaving(name, incarnation, now)

    def note_leaving(
        self,
        target: TargetName,
        incarnation: int,
        now: Instant,
    ) -> None:
        """Record that an incarnation of a target is leaving."""
        record = self._leaving.get(target)
        if record is not None and record.incarnation >= incarnation:
            return
        if record is None and len(self._leaving) >= MAXIMUM_LEAVING_TARGETS:
            del self._leaving[min(self._leaving, key=self._get_recorded_s)]
        # Keeps the dictionary in the order of records, newest last.
        self._leaving.pop(target, None)
        self._leaving[target] = _LeavingTarget(incarnation, now.monotonic_s)
        self._has_urgent_update = True
        self._update_view(target)

    def note_incarnation(self, target: TargetName, incarnation: int) -> None:
        """Record a target's incarnation; a restarted target is not leaving."""
        if incarnation > self._incarnations.get(target, 0):
            self._incarnations[target] = incarnation
            self._update_view(target)

    def list_targets(self, service: str) -> tuple[TargetView, ...]:
        """Return all targets of a service, including leaving ones."""
        views = self._views.get(service)
        if views is None:
            views = tuple(self._services.get(service, {}).values())
            self._views[service] = views
        return views

    def take_changed_services(self) -> frozenset[str]:
        """Return the services whose targets changed since the last call."""
        changed = frozenset(self._changed)
        self._changed.clear()
        return changed

    def take_urgent_update(self) -> bool:
        """Return whether a leaving target was recorded since the last call."""
        has_update = self._has_urgent_update
        self._has_urgent_update = False
        return has_update

    def list_leaving(self, now: Instant) -> list[LeavingWord]:
        """Return leaving targets to include in a message.

        If there are more than ``GOSSIPED_LEAVING_TARGETS``, half of them are
        the newest and half a rotating selection of the others.
        """
        entries = [
            LeavingWord(target=name, incarnation=record.incarnation)
            for name, record in self._leaving.items()
            if record.incarnation
            or now.monotonic_s - record.recorded_s
            < UNKNOWN_INCARNATION_GOSSIP_S
        ]
        if len(entries) <= GOSSIPED_LEAVING_TARGETS:
            return entries
        half = GOSSIPED_LEAVING_TARGETS // 2
        newest = entries[-half:]
        rest = entries[:-half]
        self._gossip_offset = (self._gossip_offset + half) % len(rest)
        rotated = rest[self._gossip_offset :] + rest[: self._gossip_offset]
        return newest + rotated[:half]

    def remove_expired(self, now: Instant) -> None:
        """Remove expired records.

        After ``LEAVING_EXPIRY_S``, a record is removed if neither the list nor
        the document names its target or if its incarnation is unknown, but
        not while the list reports the target as leaving.
        """
        known = self._configured.keys() | self._listed.keys()
        expired_before_s = now.monotonic_s - LEAVING_EXPIRY_S
        for name, record in tuple(self._leaving.items()):
            if (
                record.recorded_s > expired_before_s
                or name in self._listed_leaving
            ):
                continue
            if name not in known or not record.incarnation:
                del self._leaving[name]
                self._update_view(name)
        for name in self._incarnations.keys() - known:
            del self._incarnations[name]

    def _merge(self) -> None:
        services: dict[str, dict[TargetName, TargetView]] = {}
        for name, view in {**self._listed, **self._configured}.items():
            views = services.setdefault(view.service, {})
            views[name] = self._apply_state(view)
        for service in services.keys() | self._services.keys():
            if services.get(service) != self._services.get(service):
                self._mark_changed(service)
        self._services = services

    def _update_view(self, target: TargetName) -> None:
        view = self._configured.get(target) or self._listed.get(target)
        if view is not None:
            updated = self._apply_state(view)
            if self._services[view.service].get(target) != updated:
                self._services[view.service][target] = updated
                self._mark_changed(view.service)

    def _apply_state(self, view: TargetView) -> TargetView:
        incarnation = self._incarnations.get(view.name, 0)
        record = self._leaving.get(view.name)
        leaving = record is not None and record.incarnation >= incarnation
        return evolve(view, leaving=leaving, incarnation=incarnation)

    def _mark_changed(self, service: str) -> None:
        self._changed.add(service)
        self._views.pop(service, None)

    def _get_recorded_s(self, target: TargetName) -> float:
        return self._leaving[target].recorded_s
