"""Memory that a process may use."""

import os

BYTES_PER_MB = 1_048_576


def find_memory_bytes(memory_mb: int) -> int:
    """Return the memory that a process may use.

    :param memory_mb: memory of the process, zero for that of the machine.
    """
    if memory_mb:
        return memory_mb * BYTES_PER_MB
    return os.sysconf('SC_PHYS_PAGES') * os.sysconf('SC_PAGE_SIZE')
