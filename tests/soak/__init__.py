"""Soak tests of gateway processes."""
