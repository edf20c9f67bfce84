"""Rate limits, admission and fair queueing by organisation."""
