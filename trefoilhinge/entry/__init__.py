"""Daemon of an entry instance: the I/O around a node's core."""
