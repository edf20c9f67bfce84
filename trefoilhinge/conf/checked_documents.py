"""Documents of either form, as they are checked before they are sent.

The product's form is described by its schema; every instance of ``entry``
reads it. The platform's form is what the decoder of the gateway accepts.
"""

from typing import Any

from attrs import evolve, frozen
from expression import Error, Ok, Result

from trefoilhinge.conf.differences import describe_differences
from trefoilhinge.conf.document import (
    MAXIMUM_DOCUMENT_BYTES,
    structure_document,
)
from trefoilhinge.conf.findings.catalogue import (
    DOCUMENT_CHECKS,
    FLEET_CHECKS,
    REPLACEMENT_CHECKS,
    SETTINGS_CHECKS,
)
from trefoilhinge.conf.findings.document_context import DocumentContext
from trefoilhinge.conf.findings.fleet_context import FleetContext
from trefoilhinge.conf.findings.fleet_settings import SettingsContext
from trefoilhinge.conf.findings.registry import Findings
from trefoilhinge.conf.findings.replacement import ReplacementContext
from trefoilhinge.conf.fleet_entries import Decode, decode_entries
from trefoilhinge.conf.fleet_fields import find_unread_fields
from trefoilhinge.conf.fleet_views import FleetView, make_fleet_view
from trefoilhinge.conf.generated.document import Document
from trefoilhinge.conf.json_text import parse_json
from trefoilhinge.conf.problems import ROOT, DocumentProblem, Problems
from trefoilhinge.dispatch.settings import GatewaySettings

# Each form requires fields that the other one does not have.
_PRODUCT_FIELD = 'revision'
_PLATFORM_FIELDS = frozenset(('version', 'routes'))


@frozen
class CheckedDocument:
    """A document that can be decoded.

    :ivar fields: parsed JSON of the document.
    :ivar content: what it says, for a comparison.
    :ivar revision: a newer document has a larger one.
    :ivar revision_path: JSON path of the revision.
    :ivar findings: what was found in it, errors first.
    :ivar fleet: its entries if it is of the platform's form.
    """

    fields: Any
    content: Document | FleetView
    revision: int
    revision_path: str
    findings: Findings
    fleet: FleetContext | None = None

    @property
    def is_of_platform(self) -> bool:
        """Return whether it is of the platform's form."""
        return self.fleet is not None


@frozen
class Comparison:
    """Comparison of a document with the one in force.

    :ivar findings: what was found in the new document alone and beside the
        old one, errors first.
    :ivar differences: one line for each difference.
    """

    findings: Findings
    differences: list[str]


def parse_checked_document(
    text: str, decode: Decode
) -> Result[CheckedDocument, Problems]:
    """Parse a document of either form and check it.

    :param decode: decoder of the platform's form.
    :return: the document, or every problem for which it cannot be decoded.
    """
    return parse_json(text, MAXIMUM_DOCUMENT_BYTES).bind(
        lambda fields: _check_fields(fields, decode)
    )


def compare_checked_documents(
    old: CheckedDocument, new: CheckedDocument
) -> Result[Comparison, Problems]:
    """Compare a document with the one in force.

    :return: the comparison, or a problem if their forms differ.
    """
    if old.is_of_platform != new.is_of_platform:
        problem = DocumentProblem(
            ROOT,
            "one document is of the product's form, the other of the "
            "platform's",
            'compare two documents of one form',
        )
        return Error((problem,))
    context = ReplacementContext(
        old.revision,
        new.revision,
        new.revision_path,
        old.content == new.content,
    )
    findings = (*REPLACEMENT_CHECKS.find(context), *new.findings)
    differences = describe_differences(old.content, new.content)
    return Ok(Comparison(findings, differences))


def check_beside_settings(
    document: CheckedDocument, settings: GatewaySettings
) -> Result[CheckedDocument, Problems]:
    """Add the findings beside the settings of a gateway instance.

    :return: the document, or a problem if it is not of the platform's form.
    """
    if document.fleet is None:
        problem = DocumentProblem(
            ROOT,
            "the document is of the product's form, which the gateway does "
            'not read',
            'omit the settings',
        )
        return Error((problem,))
    found = SETTINGS_CHECKS.find(SettingsContext(document.fleet, settings))
    return Ok(evolve(document, findings=(*document.findings, *found)))


def _check_fields(
    fields: Any, decode: Decode
) -> Result[CheckedDocument, Problems]:
    if isinstance(fields, dict) and _PRODUCT_FIELD not in fields:
        if not _PLATFORM_FIELDS.isdisjoint(fields):
            return _check_platform(fields, decode)
    return structure_document(fields).map(
        lambda document: CheckedDocument(
            fields,
            document,
            document.revision,
            f'{ROOT}.{_PRODUCT_FIELD}',
            DOCUMENT_CHECKS.find(DocumentContext(document, fields)),
        )
    )


def _check_platform(
    fields: Any, decode: Decode
) -> Result[CheckedDocument, Problems]:
    decoded = decode_entries(fields, decode)
    if decoded.is_error():
        return Error(decoded.error)
    document, entries = decoded.ok
    unread = find_unread_fields(fields, decode)
    fleet = FleetContext(document, entries, tuple(unread.values()))
    return Ok(
        CheckedDocument(
            fields,
            make_fleet_view(document, entries),
            document.version,
            f'{ROOT}.version',
            FLEET_CHECKS.find(fleet),
            fleet,
        )
    )
