"""Request paths and response formats of the platform's key-value store."""

import base64
import json
from collections.abc import Mapping
from functools import partial
from typing import Any
from urllib.parse import urlencode

from attrs import frozen
from expression import Error, Ok, Result

from trefoilhinge.core.numbers import parse_count
from trefoilhinge.dispatch.targets import TargetRecord
from trefoilhinge.dispatch.warmup.durations import parse_cold_s
from trefoilhinge.exceptions import MALFORMED_CONTENT_ERRORS

DOCUMENT_KEY = 'op/config'
TARGET_PREFIX = 'servers/'
OPERATOR_PREFIX = 'op/'  # of the document and of evacuated domains
EVACUATION_PREFIX = 'op/evacuate/'
TARGET_STATES = frozenset(('ready', 'draining'))
HISTORY_GONE_STATUS = 410  # the store no longer has the watched revision
NOT_FOUND_STATUS = 404
ITEM_PATH = '/kv-key'
LIST_PATH = '/kv-range'
WATCH_PATH = '/kv-watch'
ERA_HEADER = 'store-era'
# A store that was restored from a copy gives revisions out again, in its next
# era. Revisions here include the era, so that they can be compared.
REVISIONS_PER_ERA = 10**15


@frozen
class StoreItem:
    """Item of the store, or a tombstone of a deleted item.

    :ivar content: none if the item was deleted.
    :ivar revision: revision at which the item was written or deleted, larger
        in a later era.
    """

    key: str
    content: bytes | None
    revision: int


@frozen
class StorePage:
    """Response to a read or to a watch.

    :ivar is_truncated: whether more items follow on the next page.
    :ivar revision: current revision of the store, larger in a later era.
    """

    items: tuple[StoreItem, ...]
    is_truncated: bool
    revision: int


def make_item_path(key: str) -> str:
    """Return the path that reads an item."""
    return f'{ITEM_PATH}?{urlencode({"key": key})}'


def make_list_path(prefix: str, after_key: str) -> str:
    """Return the path that lists items with a prefix.

    :param after_key: last key of the previous page, empty for the first page.
    """
    query = {'prefix': prefix}
    if after_key:
        query['after'] = after_key
    return f'{LIST_PATH}?{urlencode(query)}'


def make_watch_path(prefix: str, revision: int, wait_s: float) -> str:
    """Return the path that waits for changes after a revision.

    :param wait_s: longest wait, in seconds.
    """
    query = {
        'prefix': prefix,
        'after': revision % REVISIONS_PER_ERA,
        'waitMs': int(wait_s * 1000),
    }
    return f'{WATCH_PATH}?{urlencode(query)}'


def decode_era(headers: Mapping[str, str]) -> Result[int, str]:
    """Decode the era of a response; it is 0 if the store names none.

    :param headers: values by lower-case name.
    """
    text = headers.get(ERA_HEADER, '0')
    era = parse_count(text)
    problem = f'the era {text[:40]!r} is not a number'
    return Error(problem) if era is None else Ok(era)


def find_history_begin(era: int) -> int:
    """Return the smallest revision of an era."""
    return _order_revision(era, 0)


def decode_item(content: bytes, era: int) -> Result[StorePage, str]:
    """Decode the response to a read of an item.

    :param era: era of the response.
    """
    return _decode_json(content, partial(_decode_single, era))


def decode_page(content: bytes, era: int) -> Result[StorePage, str]:
    """Decode the response to a list request or to a watch.

    :param era: era of the response.
    """
    return _decode_json(content, partial(_decode_many, era))


def decode_target(item: StoreItem) -> Result[TargetRecord, str]:
    """Decode a target's entry.

    :return: the record, or an error message that names the cause.
    """
    try:
        return Ok(_decode_record(item))
    except KeyError as missing:
        return Error(f'the field {missing} is missing')
    except MALFORMED_CONTENT_ERRORS as error:
        return Error(str(error))


def _decode_record(item: StoreItem) -> TargetRecord:
    fields = json.loads(item.content or b'')
    state = fields['state']
    if state not in TARGET_STATES:
        raise ValueError(f'unknown target state {state!r}')
    return TargetRecord(
        name=item.key.removeprefix(TARGET_PREFIX),
        service=fields['service'],
        address=fields['address'],
        failure_domain=fields['zone'],
        slots=fields['slots'],
        is_leaving=state == 'draining',
        started_ms=fields.get('born', 0),
        sequence=fields.get('seq', 0),
        revision=item.revision,
        cold_s=parse_cold_s(fields.get('coldLeftMs')) or 0,
    )


def _decode_json(content: bytes, decode: Any) -> Result[StorePage, str]:
    try:
        return Ok(decode(json.loads(content)))
    except KeyError as missing:
        return Error(f'the field {missing} is missing')
    except MALFORMED_CONTENT_ERRORS as error:
        return Error(str(error))


def _decode_single(era: int, fields: dict[str, Any]) -> StorePage:
    return StorePage(
        (_decode_entry(era, fields),),
        is_truncated=False,
        revision=_order_revision(era, fields['currentRev']),
    )


def _decode_many(era: int, fields: dict[str, Any]) -> StorePage:
    entries = fields['items'] if 'items' in fields else fields['events']
    return StorePage(
        tuple(_decode_entry(era, entry) for entry in entries),
        bool(fields.get('truncated', False)),
        _order_revision(era, fields['currentRev']),
    )


def _decode_entry(era: int, fields: dict[str, Any]) -> StoreItem:
    revision = _order_revision(era, fields['rev'])
    if fields.get('tombstone'):
        return StoreItem(fields['key'], None, revision)
    content = base64.b64decode(fields['value'], validate=True)
    return StoreItem(fields['key'], content, revision)


def _order_revision(era: int, revision: int) -> int:
    return era * REVISIONS_PER_ERA + int(revision)
