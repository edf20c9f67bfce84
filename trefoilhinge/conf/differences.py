"""Tells in words what one document changes against another.

The fields of each class are compared as they are, so that a field which is
added to the schema is told without a line of code here. Hashes of keys are
never shown: a key is known by its identifier.
"""

from collections.abc import Iterator, Mapping
from typing import Any

from attrs import fields, frozen, has

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


@frozen
class _ItemLabel:
    """How items of a class are named.

    :ivar word: the class in words.
    :ivar key: field that tells its items apart.
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
}
_HIDDEN_FIELDS = frozenset(('salt', 'digest'))
# Sentences for what operators change most; others are told by field.
_FIELD_TEMPLATES: Mapping[str, str] = {
    'requests_per_s': 'may now send {new} requests a second, was {old}',
    'tokens_per_s': 'may now use {new} tokens a second, was {old}',
    'weight': 'now has the weight {new}, was {old}',
    'idempotent': 'may now be repeated: {new}, was {old}',
    'failure_domain': 'is now in the failure domain {new}, was in {old}',
    'address': 'is now at {new}, was at {old}',
}


def describe_differences(old: Document, new: Document) -> list[str]:
    """Return a line for each difference, empty if there is none.

    :param old: the document before.
    :param new: the document after.
    """
    return list(_compare(old, new, ''))


def _compare(old: Any, new: Any, where: str) -> Iterator[str]:
    for one in fields(type(new)):
        before = getattr(old, one.name)
        after = getattr(new, one.name)
        if before != after:
            yield from _compare_field(one.name, before, after, where)


def _compare_field(
    name: str,
    old: Any,
    new: Any,
    where: str,
) -> Iterator[str]:
    if has(type(old)) and isinstance(new, type(old)):
        yield from _compare(old, new, _join(where, name))
    elif isinstance(new, tuple):
        yield from _compare_lists(name, old, new, where)
    elif name in _HIDDEN_FIELDS:
        yield f'{where}: {name} has changed'
    else:
        sentence = _FIELD_TEMPLATES.get(
            name, f'{name} is now {{new}}, was {{old}}'
        )
        told = sentence.format(old=_format_value(old), new=_format_value(new))
        yield _join(where, told, ' ' if name in _FIELD_TEMPLATES else ': ')


def _compare_lists(
    name: str,
    old: tuple[Any, ...],
    new: tuple[Any, ...],
    where: str,
) -> Iterator[str]:
    kinds = {type(one) for one in (*old, *new)}
    noun = _ITEM_LABELS.get(kinds.pop()) if len(kinds) == 1 else None
    if noun is None:
        yield from _compare_values(name, old, new, where)
        return
    before = {getattr(one, noun.key): one for one in old}
    after = {getattr(one, noun.key): one for one in new}
    for gone in before:
        if gone not in after:
            yield _join(where, f'{noun.word} {gone} is removed', ': ')
    for key, one in after.items():
        place = _join(where, _name_item(noun, key))
        if key not in before:
            yield _join(where, f'{noun.word} {key} is added', ': ')
        elif before[key] != one:
            yield from _compare(before[key], one, place)
    if set(before) == set(after) and list(before) != list(after):
        yield _join(where, f'the order of {name} has changed', ': ')


def _compare_values(
    name: str,
    old: tuple[Any, ...],
    new: tuple[Any, ...],
    where: str,
) -> Iterator[str]:
    added = [_format_value(one) for one in new if one not in old]
    removed = [_format_value(one) for one in old if one not in new]
    parts = []
    if added:
        parts.append(f'now with {", ".join(added)}')
    if removed:
        parts.append(f'without {", ".join(removed)}')
    told = ' and '.join(parts) or f'now in the order {_format_value(new)}'
    yield _join(where, f'{name} {told}', ': ')


def _name_item(noun: _ItemLabel, key: str) -> str:
    # Organisations and services are known by their names alone.
    if noun.word in {'organisation', 'service'}:
        return key
    return f'{noun.word} {key}'


def _join(where: str, what: str, between: str = ', ') -> str:
    return f'{where}{between}{what}' if where else what


def _format_value(value: Any) -> str:
    if value is None:
        return 'none'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, int | float):
        return f'{value:,.10g}' if isinstance(value, float) else f'{value:,}'
    if isinstance(value, tuple):
        return ', '.join(_format_value(one) for one in value) or 'none'
    if has(type(value)):
        return ', '.join(
            f'{one.name} {_format_value(getattr(value, one.name))}'
            for one in fields(type(value))
        )
    return str(value)
