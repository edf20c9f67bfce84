"""Checks of a document that is to replace the one in force."""

from collections.abc import Iterator

from attrs import frozen

from trefoilhinge.conf.findings.registry import Place, Registry


@frozen
class ReplacementContext:
    """Two documents.

    :ivar is_same: whether they say the same.
    """

    old_revision: int
    new_revision: int
    revision_path: str
    is_same: bool


REPLACEMENT_CHECKS: Registry[ReplacementContext] = Registry()


@REPLACEMENT_CHECKS.register(
    'trefoilhinge.E301',
    'write a larger number than that of the document in force',
)
def _check_revision(context: ReplacementContext) -> Iterator[Place]:
    """The document differs from the one in force but is not newer, so that no
    instance takes it (only with `--against`).
    """
    if context.new_revision <= context.old_revision and not context.is_same:
        yield Place(
            context.revision_path,
            f'{context.new_revision} is not larger than '
            f'{context.old_revision}, which is in force',
        )
