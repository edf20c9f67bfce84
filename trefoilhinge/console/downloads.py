"""Encoding of the document for download."""

import json

from trefoilhinge.conf.document import parse_document
from trefoilhinge.console.drafts import Draft


def encode_document(draft: Draft) -> str | None:
    """Return the document with the next revision as JSON.

    The returned text itself is checked, by the same function that
    ``trefoilhinge check`` and every instance use.

    :return: ``None`` if the document is invalid.
    """
    text = f'{json.dumps(draft.next_fields, indent=2)}\n'
    return text if parse_document(text).is_ok() else None
