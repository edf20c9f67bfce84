"""Benchmarks of routing policies: workloads, baselines and reports."""
