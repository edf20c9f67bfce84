"""Retries, resumption and the ledger of calls that run at most once."""
