"""Findings in valid documents: entries without effect and contradictions."""
