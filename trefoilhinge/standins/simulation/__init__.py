"""Deterministic simulation of a node's environment on a virtual clock."""
