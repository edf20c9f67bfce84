"""Adapter to the users' platform: its names, formats and calls.

Nothing here decides. Each module turns what the platform says into the types
of :mod:`trefoilhinge.dispatch`, and what was decided there into the
platform's words. No other package knows these names.
"""
