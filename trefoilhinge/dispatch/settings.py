"""Settings of a gateway process."""

from attrs import frozen

Address = tuple[str, int]


# Settings that are not in the platform's file, and where they are read from.
ENVIRONMENT_SOURCES = {
    'allows_learned_costs': 'TREFOILHINGE_LEARNED_COSTS of the environment',
    'allows_admission': 'TREFOILHINGE_ADMISSION of the environment',
    'allows_store_readers': 'TREFOILHINGE_STORE_READERS of the environment',
}


@frozen
class Bounds:
    """Limits that the operator requires the fleet to meet.

    :ivar grace_s: seconds between the signal to stop and the kill.
    :ivar repeat_ratio: retries per request to a service.
    :ivar repeat_slack: retries on top of the ratio, over all instances.
    :ivar repeat_window_s: window in which retries are counted, seconds.
    :ivar free_s: seconds within which reserved memory is released after use.
    :ivar hold_maximum_s: maximum lease of a reservation, seconds.
    :ivar apply_s: seconds within which a change in the store must take
        effect: the smaller of the limits for a new document and for a target
        that leaves.
    :ivar stable_s: seconds after the end of a disruption of the store from
        which changes in it must take effect in time, zero if unknown.
    :ivar cold_ratio: multiple of the published rate of cold targets that one
        may get in any second, zero if there is no limit.
    :ivar cold_slack: requests on top of that.
    :ivar evacuate_s: seconds within which nothing new is sent to an evacuated
        failure domain, zero if the operator evacuates none.
    """

    grace_s: float
    repeat_ratio: float
    repeat_slack: float
    repeat_window_s: float
    free_s: float
    hold_maximum_s: float
    apply_s: float
    stable_s: float = 0
    cold_ratio: float = 0
    cold_slack: float = 0
    evacuate_s: float = 0


@frozen
class GatewaySettings:
    """Settings that a gateway process reads at its start.

    :ivar entry: listen address for callers.
    :ivar readiness: listen address for the platform's readiness probe.
    :ivar control: additional listen address for metrics and status; none if
        it is not served.
    :ivar metrics: listen address for metrics and status.
    :ivar first_port: first port for messages between instances.
    :ivar seeds: IP addresses of instances that may be running.
    :ivar store: address of the platform's store.
    :ivar registration_interval_s: seconds between two registrations of a
        target in the store, zero if unknown.
    :ivar has_scarce_room: whether callers may compete for too little room at
        the targets.
    :ivar memory_bytes: memory that the process may use, zero if unknown.
    :ivar descriptors: file descriptors that it may use, zero if unknown.
    :ivar allows_learned_costs: whether calls may be placed by learned costs;
        an operator disables it to compare the same build without them.
    :ivar allows_admission: whether calls may wait in one order over all
        instances where callers compete for room.
    :ivar allows_store_readers: whether few instances may read the store for
        all; an operator disables it to compare the same build without them.
    """

    instance: str
    ip: str
    failure_domain: str
    entry: Address
    readiness: Address
    control: Address | None
    metrics: Address
    first_port: int
    seeds: tuple[str, ...]
    store: Address
    bounds: Bounds
    registration_interval_s: float = 0
    has_scarce_room: bool = False
    memory_bytes: int = 0
    descriptors: int = 0
    allows_learned_costs: bool = True
    allows_admission: bool = False
    allows_store_readers: bool = True

    @property
    def relay_port(self) -> int:
        """Return the port for calls that other instances send on."""
        return self.first_port + 1


def parse_address(text: str) -> Address:
    """Parse ``host:port``.

    :raises ValueError: the port is not an integer.
    """
    host, _, port = text.rpartition(':')
    return host, int(port)
