"""Fault matrix: every fault at every step, checked against promises."""
