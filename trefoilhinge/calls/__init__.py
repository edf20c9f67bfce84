"""Calls of callers: the API, deadlines and the relay of answers."""
