"""The gateway process: asyncio I/O around :mod:`trefoilhinge.dispatch`."""
