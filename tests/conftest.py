"""Settings of pytest for all tests."""

import gc


def pytest_collection_finish():
    """Leave the objects of pytest and of imported modules out of collections.

    A collection that visits all of them stops the event loop of a test for so
    long that calls with short deadlines time out.
    """
    gc.collect()
    gc.freeze()
