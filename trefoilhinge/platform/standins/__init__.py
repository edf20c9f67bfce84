"""Counterparts of the platform's formats, for stand-ins of its services."""
