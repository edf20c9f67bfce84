"""Placement of calls on targets."""
