"""Tests of the soak of real instances."""
