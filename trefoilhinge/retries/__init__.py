"""Retry policy and the ledger that enforces at-most-once execution."""
