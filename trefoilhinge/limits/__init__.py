"""Shares of organisations, admission and queues."""
