"""Stand-ins of the platform, replicas and clients for the review's scripts."""
