"""Input of the checks of the product's documents, and their registry."""

from collections.abc import Iterator, Mapping
from typing import Any

from attrs import frozen

from trefoilhinge.conf.findings.registry import Registry
from trefoilhinge.conf.generated.document import (
    Document,
    Organisation,
    Service,
)


@frozen
class DocumentContext:
    """A valid document.

    :ivar fields: parsed JSON of the document, which shows the fields that are
        stated explicitly. No default is reported as a contradiction.
    """

    document: Document
    fields: Mapping[str, Any]

    def list_services(self) -> Iterator[tuple[str, Service, Mapping[str, Any]]]:
        """Yield each service with its path and its explicit fields."""
        explicit_fields = self.fields['services']
        for index, service in enumerate(self.document.services):
            yield f'$.services[{index}]', service, explicit_fields[index]

    def list_organisations(self) -> Iterator[tuple[str, Organisation]]:
        """Yield each organisation with its path."""
        for index, organisation in enumerate(self.document.organisations):
            yield f'$.organisations[{index}]', organisation


DOCUMENT_CHECKS: Registry[DocumentContext] = Registry()
