"""Adapter to the users' platform: its names, formats and requests.

The adapter takes no decisions. Its modules convert between the platform's
formats and the types of :mod:`trefoilhinge.dispatch`. The platform's names
appear in no other package.
"""
