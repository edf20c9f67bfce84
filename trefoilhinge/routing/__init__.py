"""Routing of calls to targets."""
