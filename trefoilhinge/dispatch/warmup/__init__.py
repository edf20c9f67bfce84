"""Targets that are cold after their start."""
