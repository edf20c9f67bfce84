"""Waiting of calls for capacity, over the cores of ``dispatch.admission``."""
