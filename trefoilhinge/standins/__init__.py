"""Lightweight stand-ins for engines, services and the platform."""
