"""Request gateway between callers and a shared fleet of model engines."""

VERSION = '0.1.0'
