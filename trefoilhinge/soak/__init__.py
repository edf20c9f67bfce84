"""Real instances beside stand-ins, with faults from outside, checked."""
