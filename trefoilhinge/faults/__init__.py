"""Fault matrix: injects faults at each fault point and checks invariants."""
