"""Soak test: gateway processes and stand-ins under injected faults."""
