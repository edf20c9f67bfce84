"""Shared types: clocks, identifiers, verdicts, events and effects.

A node consists of a core, which takes all decisions and does no I/O, and a
shell, which does the I/O. The shell passes the outcome of each operation to
the core as an event and carries out the effects that the core requests.
"""
