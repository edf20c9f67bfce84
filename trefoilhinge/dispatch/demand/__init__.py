"""Short calls that the fleet takes, and where they go meanwhile."""
