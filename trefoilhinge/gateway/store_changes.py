"""Changes that this instance or a peer read in the platform's store."""

from collections.abc import Iterable, Sequence

from attrs import define

from trefoilhinge.dispatch.evacuations import MAXIMUM_DOMAIN_LENGTH, DomainMark
from trefoilhinge.dispatch.store_read_codec import StoreChange, TargetRemoved
from trefoilhinge.gateway.evacuations import EvacuationNews
from trefoilhinge.gateway.state import GatewayState
from trefoilhinge.gateway.target_entries import TargetEntries
from trefoilhinge.platform import store


@define
class StoreChanges:
    """Applies changes of the document, the targets and the marks.

    :ivar entries: entries of the targets.
    :ivar evacuations: marks of evacuated failure domains.
    """

    _state: GatewayState
    entries: TargetEntries
    evacuations: EvacuationNews

    def apply_read(
        self, items: Iterable[store.StoreItem], revision: int
    ) -> None:
        """Apply changes that this instance read.

        :param revision: revision up to which all changes of targets are known,
            as a peer may have told later ones during the read; a target that
            was removed since must not come back.
        """
        for item in items:
            is_target = item.key.startswith(store.TARGET_PREFIX)
            if not is_target or item.revision > revision:
                self.apply_item(item)

    def apply_item(self, item: store.StoreItem) -> None:
        """Apply an item or its removal."""
        if item.key == store.DOCUMENT_KEY and item.content is not None:
            self._state.accept_document(
                item.content, f'store revision {item.revision}'
            )
        elif item.key.startswith(store.TARGET_PREFIX):
            self.entries.apply_item(item)
        elif item.key.startswith(store.EVACUATION_PREFIX):
            self.evacuations.apply_item(_make_mark(item))

    def apply_operator_list(
        self, items: Iterable[store.StoreItem], revision: int
    ) -> None:
        """Apply the marks among the items of the operator.

        :param revision: revision of the store before they were read.
        """
        marks = [
            _make_mark(item)
            for item in items
            if item.key.startswith(store.EVACUATION_PREFIX)
        ]
        self.evacuations.apply_list(marks, revision)

    def apply_told(
        self, changes: Sequence[StoreChange], revision: int, ip: str
    ) -> None:
        """Apply all changes up to a revision that a peer has read."""
        for change in changes:
            if isinstance(change, DomainMark):
                self.evacuations.apply_message(change, ip)
            else:
                self.entries.apply_told(change, ip)
        self.evacuations.record_read(revision)


def list_changes(page: store.StorePage) -> list[StoreChange]:
    """Return the changes of targets and marks that peers are told."""
    return [
        change
        for item in page.items
        for change in _list_item_changes(item)
        if change.revision <= page.revision
    ]


def _list_item_changes(item: store.StoreItem) -> list[StoreChange]:
    """Return the change of an item; nothing if it cannot be decoded."""
    if item.key.startswith(store.EVACUATION_PREFIX):
        mark = _make_mark(item)
        return [mark] if 0 < len(mark.domain) <= MAXIMUM_DOMAIN_LENGTH else []
    if not item.key.startswith(store.TARGET_PREFIX):
        return []
    if item.content is None:
        name = item.key.removeprefix(store.TARGET_PREFIX)
        return [TargetRemoved(name, item.revision)]
    decoded = store.decode_target(item)
    return [] if decoded.is_error() else [decoded.ok]


def _make_mark(item: store.StoreItem) -> DomainMark:
    return DomainMark(
        item.key.removeprefix(store.EVACUATION_PREFIX),
        is_evacuated=item.content is not None,
        revision=item.revision,
    )
