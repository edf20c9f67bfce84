"""Measurement of the policy: workloads, baselines and reports."""
