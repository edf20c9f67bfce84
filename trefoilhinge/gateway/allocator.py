"""Settings of the C library's allocator."""

from typing import Any

from attrs import define

from trefoilhinge.gateway.logs import EventLog

# Parameter of mallopt(3): from which size on a block is mapped by itself.
_MMAP_THRESHOLD = -3
# The initial value of glibc.
MAPPED_BYTES = 131_072


@define
class Allocator:
    """The allocator of the process; without one, nothing is done."""

    _library: Any = None

    def map_long_blocks(self) -> None:
        """Let the memory of long bodies return to the system when it is freed.

        glibc otherwise raises the threshold to the longest block that was
        freed. Further bodies are then parts of the heap, which stays as large
        as it ever was.
        """
        if self._library is not None:
            self._library.mallopt(_MMAP_THRESHOLD, MAPPED_BYTES)

    def return_free_memory(self) -> None:
        """Return to the system what is free between blocks that are in use."""
        if self._library is not None:
            self._library.malloc_trim(0)


def make_allocator(log: EventLog) -> Allocator:
    """Return the allocator of the C library, if it is glibc's."""
    try:
        import ctypes  # noqa: WPS433

        library = ctypes.CDLL(None)
        library.mallopt, library.malloc_trim  # noqa: WPS428, B018
    except (ImportError, OSError, AttributeError) as problem:
        log.write('allocator_unknown', problem=problem)
        return Allocator()
    return Allocator(library)
