"""Types that every app shares: time, identifiers, verdicts, events, effects."""
