"""Fake store on a loopback address of the test process."""

from tests.gateway.documents import HOST, find_port
from trefoilhinge.soak import stores


class StoreStandIn(stores.StoreStandIn):
    """Fake of the platform's store."""

    def __init__(self):
        super().__init__(HOST, find_port())
