"""Costs of calls, learned from the calls that an instance has seen end."""
