"""The demo: a whole small deployment in one process."""
