"""Shared types: clocks, identifiers, verdicts, events and effects."""
