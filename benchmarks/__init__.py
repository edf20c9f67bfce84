"""Benchmarks that run in separate processes, started manually."""
