"""Measurements that need processes of their own, run by hand."""
