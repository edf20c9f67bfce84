"""Writes the one document that the console hands out."""

import json

from trefoilhinge.conf.document import parse_document
from trefoilhinge.console.drafts import Draft


def encode_document(draft: Draft) -> str | None:
    """Return the document with the next revision, none if it is invalid.

    The text that is handed out is the one that is checked, by the same
    function as ``trefoilhinge check`` and every instance.
    """
    text = f'{json.dumps(draft.next_fields, indent=2)}\n'
    return text if parse_document(text).is_ok() else None
