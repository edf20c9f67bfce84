"""Targets by service, and which of them are leaving."""

from collections.abc import Iterable

from attrs import define, evolve, field

from trefoilhinge.conf.generated.document import Document
from trefoilhinge.conf.generated.messages import LeavingWord
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.identifiers import TargetName
from trefoilhinge.core.reports import ListedTarget
from trefoilhinge.membership.interfaces import TargetView

LEAVING_WORDS = 32
MAXIMUM_LEFT = 8192
# A target that never told its incarnation cannot show that it came back.
FORGET_UNNUMBERED_S = 900.0
SHARE_UNNUMBERED_S = 300.0


@define
class _Left:
    incarnation: int
    noted_s: float


@define
class TargetBook:
    """Merges the document's targets with the platform's list.

    :ivar news: targets found leaving since the last ``take_news``.
    """

    _configured: dict[TargetName, TargetView] = field(factory=dict)
    _listed: dict[TargetName, TargetView] = field(factory=dict)
    _listed_leaving: dict[TargetName, int] = field(factory=dict)
    _left: dict[TargetName, _Left] = field(factory=dict)
    _incarnations: dict[TargetName, int] = field(factory=dict)
    _services: dict[str, dict[TargetName, TargetView]] = field(factory=dict)
    _views: dict[str, tuple[TargetView, ...]] = field(factory=dict)
    _changed: set[str] = field(factory=set)
    _news: bool = False
    _offset: int = 0

    def configure(self, document: Document) -> None:
        """Take the document's targets."""
        self._configured = {
            TargetName(one.name): TargetView(
                TargetName(one.name),
                one.address,
                one.failure_domain,
                service.name,
            )
            for service in document.services
            for one in service.targets
        }
        self._merge()

    def note_listed(
        self,
        targets: Iterable[ListedTarget],
        now: Instant,
    ) -> None:
        """Take the platform's list of targets, which lags."""
        targets = tuple(targets)
        listed = {
            one.name: TargetView(
                one.name,
                one.address,
                one.failure_domain,
                one.service,
            )
            for one in targets
        }
        if listed != self._listed:
            self._listed = listed
            self._merge()
        leaving = {
            # A list that goes on saying so speaks of the incarnation of
            # which it said so first.
            one.name: self._listed_leaving.get(
                one.name,
                self._incarnations.get(one.name, 0),
            )
            for one in targets
            if one.leaving
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
        """Take that an incarnation of a target is leaving."""
        known = self._left.get(target)
        if known is not None and known.incarnation >= incarnation:
            return
        if known is None and len(self._left) >= MAXIMUM_LEFT:
            del self._left[min(self._left, key=self._find_noted)]
        # The newest stand last.
        self._left.pop(target, None)
        self._left[target] = _Left(incarnation, now.monotonic_s)
        self._news = True
        self._refresh(target)

    def note_incarnation(self, target: TargetName, incarnation: int) -> None:
        """Take a target's own incarnation; a larger one has come back."""
        if incarnation > self._incarnations.get(target, 0):
            self._incarnations[target] = incarnation
            self._refresh(target)

    def list_targets(self, service: str) -> tuple[TargetView, ...]:
        """Return every target of a service, leaving ones marked."""
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

    def take_news(self) -> bool:
        """Return whether a target was found leaving since the last call."""
        news = self._news
        self._news = False
        return news

    def list_words(self, now: Instant) -> list[LeavingWord]:
        """Return the newest half and a rotating part of the rest."""
        shared = [
            LeavingWord(target=name, incarnation=left.incarnation)
            for name, left in self._left.items()
            if left.incarnation
            or now.monotonic_s - left.noted_s < SHARE_UNNUMBERED_S
        ]
        if len(shared) <= LEAVING_WORDS:
            return shared
        half = LEAVING_WORDS // 2
        newest = shared[-half:]
        rest = shared[:-half]
        self._offset = (self._offset + half) % len(rest)
        turned = rest[self._offset :] + rest[: self._offset]
        return newest + turned[:half]

    def forget(self, now: Instant) -> None:
        """Drop what nothing refers to any more."""
        known = self._configured.keys() | self._listed.keys()
        horizon_s = now.monotonic_s - FORGET_UNNUMBERED_S
        for name, left in tuple(self._left.items()):
            if left.noted_s > horizon_s or name in self._listed_leaving:
                continue
            if name not in known or not left.incarnation:
                del self._left[name]
                self._refresh(name)
        for name in self._incarnations.keys() - known:
            del self._incarnations[name]

    def _merge(self) -> None:
        services: dict[str, dict[TargetName, TargetView]] = {}
        for name, view in {**self._listed, **self._configured}.items():
            views = services.setdefault(view.service, {})
            views[name] = self._describe(view)
        for service in services.keys() | self._services.keys():
            if services.get(service) != self._services.get(service):
                self._mark(service)
        self._services = services

    def _refresh(self, target: TargetName) -> None:
        view = self._configured.get(target) or self._listed.get(target)
        if view is not None:
            described = self._describe(view)
            if self._services[view.service].get(target) != described:
                self._services[view.service][target] = described
                self._mark(view.service)

    def _describe(self, view: TargetView) -> TargetView:
        incarnation = self._incarnations.get(view.name, 0)
        left = self._left.get(view.name)
        leaving = left is not None and left.incarnation >= incarnation
        return evolve(view, leaving=leaving, incarnation=incarnation)

    def _mark(self, service: str) -> None:
        self._changed.add(service)
        self._views.pop(service, None)

    def _find_noted(self, target: TargetName) -> float:
        return self._left[target].noted_s
