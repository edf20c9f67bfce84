"""Tests of the demand of short calls."""
