"""Instances, targets, and who is leaving."""
