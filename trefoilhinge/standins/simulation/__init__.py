"""Fakes at the interfaces of a node's core, on an injected clock."""
