"""All checks of documents."""

from typing import Any

from trefoilhinge.conf.findings import (  # noqa: F401
    document_entries,
    document_limits,
    fleet_limits,
    fleet_names,
    fleet_reachability,
)
from trefoilhinge.conf.findings.document_context import DOCUMENT_CHECKS
from trefoilhinge.conf.findings.fleet_context import FLEET_CHECKS
from trefoilhinge.conf.findings.fleet_settings import SETTINGS_CHECKS
from trefoilhinge.conf.findings.registry import Registry
from trefoilhinge.conf.findings.replacement import REPLACEMENT_CHECKS

# Title of the section in the reference -> its checks.
CATALOGUE: dict[str, Registry[Any]] = {
    "The product's document": DOCUMENT_CHECKS,
    "The platform's document": FLEET_CHECKS,
    "The platform's document beside the settings": SETTINGS_CHECKS,
    'Either, against the one in force': REPLACEMENT_CHECKS,
}
