"""Demo: a complete small deployment in one process."""
