"""Adapters to engines, plain services and what the platform publishes."""
