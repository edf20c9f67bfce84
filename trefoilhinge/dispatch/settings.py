"""Settings of a gateway process, checked, with units in their names."""

from attrs import frozen

Address = tuple[str, int]


@frozen
class Bounds:
    """Figures of the promises that the operator holds the fleet to.

    :ivar grace_s: time between the order to stop and the kill.
    :ivar repeat_ratio: repeats for each request to a service.
    :ivar repeat_slack: repeats on top of that, over all instances.
    :ivar repeat_window_s: window in which repeats are counted.
    :ivar free_s: time in which reserved memory is released after its use.
    :ivar hold_maximum_s: longest lease of a reservation.
    :ivar apply_s: time in which what the store says is in force: a new
        document, and a target that leaves, whichever has less.
    """

    grace_s: float
    repeat_ratio: float
    repeat_slack: float
    repeat_window_s: float
    free_s: float
    hold_maximum_s: float
    apply_s: float


@frozen
class GatewaySettings:
    """What a gateway process is told at its start.

    :ivar entry: address for callers.
    :ivar readiness: address at which the platform asks for readiness.
    :ivar control: address for the other instances' first word; none if it is
        not served.
    :ivar metrics: address of this process's figures.
    :ivar first_port: first port for words between instances.
    :ivar seeds: IP numbers of instances that may be running.
    :ivar store: address of the platform's store.
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


def parse_address(text: str) -> Address:
    """Return host and port of an address in text.

    :raises ValueError: the port is no number.
    """
    host, _, port = text.rpartition(':')
    return host, int(port)
