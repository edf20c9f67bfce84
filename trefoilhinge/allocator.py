"""Settings of the C library's allocator."""

from typing import Any

from attrs import define

# Parameter of mallopt(3): from which size on a block is mapped by itself.
_MMAP_THRESHOLD = -3
# How many heaps the threads of the process share.
_ARENA_MAX = -8
# The initial value of glibc.
MAPPED_BYTES = 131_072
MAXIMUM_HEAPS = 2


@define
class Allocator:
    """The allocator of the process; without one, nothing is done."""

    _library: Any = None

    @property
    def is_known(self) -> bool:
        """Return whether there is an allocator to set."""
        return self._library is not None

    def map_long_blocks(self) -> None:
        """Let the memory of long bodies return to the system when it is freed.

        glibc otherwise raises the threshold to the longest block that was
        freed. Further bodies are then parts of the heap, which stays as large
        as it ever was.
        """
        if self._library is not None:
            self._library.mallopt(_MMAP_THRESHOLD, MAPPED_BYTES)

    def share_heaps(self) -> None:
        """Let threads share few heaps, each of which keeps what was freed."""
        if self._library is not None:
            self._library.mallopt(_ARENA_MAX, MAXIMUM_HEAPS)

    def return_free_memory(self) -> None:
        """Return to the system what is free between blocks that are in use."""
        if self._library is not None:
            self._library.malloc_trim(0)


def make_allocator() -> Allocator:
    """Return the allocator of the C library, if it is glibc's.

    The defaults of another one stay in force.
    """
    try:
        import ctypes  # noqa: WPS433

        library = ctypes.CDLL(None)
        library.mallopt, library.malloc_trim  # noqa: WPS428, B018
    except (ImportError, OSError, AttributeError):
        return Allocator()
    return Allocator(library)
