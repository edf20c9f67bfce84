"""The store's stand-in at an address of the test process's own."""

from tests.gateway.documents import HOST, find_port
from trefoilhinge.soak import stores


class StoreStandIn(stores.StoreStandIn):
    """The platform's store."""

    def __init__(self):
        super().__init__(HOST, find_port())
