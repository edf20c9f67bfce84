"""Serving layer between callers and shared model engines."""

VERSION = '0.1.0'
