"""Event loop around the cores of :mod:`trefoilhinge.dispatch`."""
