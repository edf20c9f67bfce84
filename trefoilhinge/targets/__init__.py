"""Clients of model engines, plain services and the platform's services."""
