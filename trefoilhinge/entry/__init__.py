"""The entry daemon: shells around a node's core."""
