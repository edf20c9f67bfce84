"""Traits of calls: properties that calls have in common."""

from trefoilhinge.dispatch.calls import Call


def list_traits(call: Call) -> tuple[str, ...]:
    """Return the traits of a call: the shared parts of its prompt."""
    return tuple(f'part/{part}' for part in call.head.prompt_parts)
