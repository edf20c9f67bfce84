"""Describes the differences between two documents as sentences.

The fields of each class are compared generically, so that a field added to
the schema is described without a change here. Salts and hashes of API keys
are never shown: a key is named by its identifier.
"""

import enum
from collections.abc import Iterator, Mapping
from typing import Any

from attrs import fields, frozen, has

from trefoilhinge.conf.fleet_views import FleetView, OrganisationView
from trefoilhinge.conf.generated.document import (
    ApiKey,
    Document,
    FailureDomain,
    Model,
    Organisation,
    PathRule,
    Service,
    Target,
)
from trefoilhinge.dispatch import documents as fleet


@frozen
class _ItemLabel:
    """How items of a class are named in a description.

    :ivar word: noun for the class.
    :ivar key: name of the field that identifies an item.
    """

    word: str
    key: str = 'name'


_ITEM_LABELS: Mapping[type, _ItemLabel] = {
    ApiKey: _ItemLabel('key', 'identifier'),
    FailureDomain: _ItemLabel('failure domain'),
    Model: _ItemLabel('model'),
    Organisation: _ItemLabel('organisation'),
    PathRule: _ItemLabel('path', 'path'),
    Service: _ItemLabel('service'),
    Target: _ItemLabel('target'),
    OrganisationView: _ItemLabel('organisation'),
    fleet.Route: _ItemLabel('route'),
    fleet.Service: _ItemLabel('service'),
    fleet.ServiceShare: _ItemLabel('share of', 'service'),
}
_HIDDEN_FIELDS = frozenset(('salt', 'digest'))
# Sentences for the fields that operators change most; others are named.
_FIELD_TEMPLATES: Mapping[str, str] = {
    'requests_per_s': 'may now send {new} requests per second, was {old}',
    'tokens_per_s': 'may now use {new} tokens per second, was {old}',
    'weight': 'now has the weight {new}, was {old}',
    'idempotent': 'may now be retried: {new}, was {old}',
    'failure_domain': 'is now in the failure domain {new}, was in {old}',
    'address': 'is now at {new}, was at {old}',
}


def describe_differences(
    old: Document | FleetView, new: Document | FleetView
) -> list[str]:
    """Return one line for each difference, empty if there is none.

    Both documents are of the same form.

    :param old: document before the change.
    :param new: document after the change.
    """
    return list(_compare(old, new, ''))


def _compare(old: Any, new: Any, scope: str) -> Iterator[str]:
    for one in fields(type(new)):
        old_value = getattr(old, one.name)
        new_value = getattr(new, one.name)
        if old_value != new_value:
            yield from _compare_field(one.name, old_value, new_value, scope)


def _compare_field(
    name: str,
    old: Any,
    new: Any,
    scope: str,
) -> Iterator[str]:
    if has(type(old)) and isinstance(new, type(old)):
        yield from _compare(old, new, _join(scope, name))
    elif isinstance(new, tuple):
        yield from _compare_lists(name, old, new, scope)
    elif isinstance(old, Mapping) and isinstance(new, Mapping):
        yield from _compare_mappings(name, old, new, scope)
    elif name in _HIDDEN_FIELDS:
        yield f'{scope}: {name} has changed'
    else:
        template = _FIELD_TEMPLATES.get(
            name, f'{name} is now {{new}}, was {{old}}'
        )
        text = template.format(old=_format_value(old), new=_format_value(new))
        yield _join(scope, text, ' ' if name in _FIELD_TEMPLATES else ': ')


def _compare_lists(
    name: str,
    old: tuple[Any, ...],
    new: tuple[Any, ...],
    scope: str,
) -> Iterator[str]:
    item_types = {type(one) for one in (*old, *new)}
    label = _ITEM_LABELS.get(item_types.pop()) if len(item_types) == 1 else None
    if label is None:
        yield from _compare_values(name, old, new, scope)
        return
    old_items = {getattr(one, label.key): one for one in old}
    new_items = {getattr(one, label.key): one for one in new}
    for removed_key in old_items:
        if removed_key not in new_items:
            yield _join(scope, f'{label.word} {removed_key} is removed', ': ')
    for key, one in new_items.items():
        item_scope = _join(scope, _name_item(label, key))
        if key not in old_items:
            yield _join(scope, f'{label.word} {key} is added', ': ')
        elif old_items[key] != one:
            yield from _compare(old_items[key], one, item_scope)
    if set(old_items) == set(new_items) and list(old_items) != list(new_items):
        yield _join(scope, f'the order of {name} has changed', ': ')


def _compare_mappings(
    name: str,
    old: Mapping[Any, Any],
    new: Mapping[Any, Any],
    scope: str,
) -> Iterator[str]:
    for key in dict.fromkeys((*old, *new)):
        if old.get(key) != new.get(key):
            text = (
                f'{name} of {_format_value(key)} is now '
                f'{_format_value(new.get(key))}, was '
                f'{_format_value(old.get(key))}'
            )
            yield _join(scope, text, ': ')


def _compare_values(
    name: str,
    old: tuple[Any, ...],
    new: tuple[Any, ...],
    scope: str,
) -> Iterator[str]:
    added = [_format_value(one) for one in new if one not in old]
    removed = [_format_value(one) for one in old if one not in new]
    parts = []
    if added:
        parts.append(f'now with {", ".join(added)}')
    if removed:
        parts.append(f'without {", ".join(removed)}')
    text = ' and '.join(parts) or f'now in the order {_format_value(new)}'
    yield _join(scope, f'{name} {text}', ': ')


def _name_item(label: _ItemLabel, key: str) -> str:
    # Organisations and services are identified by their names alone.
    if label.word in {'organisation', 'service'}:
        return key
    return f'{label.word} {key}'


def _join(scope: str, text: str, separator: str = ', ') -> str:
    return f'{scope}{separator}{text}' if scope else text


def _format_value(value: Any) -> str:
    if value is None:
        return 'none'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, int | float):
        return f'{value:,.10g}' if isinstance(value, float) else f'{value:,}'
    if isinstance(value, enum.Enum):
        return str(value.value)
    if has(type(value)):
        return ', '.join(
            f'{one.name} {_format_value(getattr(value, one.name))}'
            for one in fields(type(value))
        )
    if isinstance(value, tuple | frozenset | Mapping):
        return _format_items(value)
    text = str(value)
    return text if text.isprintable() else ascii(text)


def _format_items(
    items: tuple[Any, ...] | frozenset[Any] | Mapping[Any, Any],
) -> str:
    if isinstance(items, frozenset):
        return ' and '.join(sorted(map(_format_value, items)))
    if isinstance(items, Mapping):
        texts = [
            f'{_format_value(key)} {_format_value(value)}'
            for key, value in items.items()
        ]
    else:
        texts = [_format_value(one) for one in items]
    return ', '.join(texts) or 'none'
