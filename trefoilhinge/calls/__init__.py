"""Serving of callers: HTTP servers, request parsing and answer relaying."""
