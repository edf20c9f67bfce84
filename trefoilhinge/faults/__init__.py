"""Fault matrix: injects each fault at each step and checks invariants."""
