"""Callers of the simulated deployment, which retry as client examples do."""

import enum

from attrs import define, field, frozen

from trefoilhinge.core.events import CallerGone
from trefoilhinge.core.identifiers import InstanceName, RequestId
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.core.verdicts import Verdict
from trefoilhinge.faults.documents import (
    ORGANISATIONS,
)
from trefoilhinge.faults.world import (
    INSTANCES,
    FaultWorld,
)
from trefoilhinge.standins.simulation.world import CallRecord

MAXIMUM_SENDS = 4
RETRY_DELAY_S = 0.7
LAST_RETRY_S = 20.0
READINESS_POLL_INTERVAL_S = 0.25
BALANCER_LAG_S = 1.0


class RequestKind(enum.StrEnum):
    """Kind of a request that callers send."""

    SHORT = 'short'
    LONG = 'long'
    GROUP = 'group'
    BOOKING = 'booking'
    LOOKUP = 'lookup'


@frozen
class RequestTemplate:
    """Request parameters that are common to one kind.

    :ivar output_tokens: length of the answer; zero for plain services.
    :ivar time_limit_s: seconds from the sending to the deadline.
    :ivar caller_timeout_s: seconds after which the caller disconnects and
        retries at another instance.
    """

    path: str
    prompt_tokens: int
    output_tokens: int
    time_limit_s: float
    caller_timeout_s: float


# One engine has memory for LONG, while GROUP needs a group of engines.
REQUEST_TEMPLATES = {
    RequestKind.SHORT: RequestTemplate('/v1/completions', 1000, 10, 12, 30),
    RequestKind.LONG: RequestTemplate('/v1/completions', 60_000, 12, 15, 30),
    RequestKind.GROUP: RequestTemplate('/v1/completions', 230_000, 10, 18, 30),
    RequestKind.BOOKING: RequestTemplate('/bookings', 200, 0, 10, 4),
    RequestKind.LOOKUP: RequestTemplate('/lookup', 200, 0, 8, 3),
}


@define
class Caller:
    """Sender of one request, which retries when the outcome is unknown.

    :ivar name: name of the request.
    :ivar key: idempotency key of the request, empty if it has none.
    :ivar calls: calls that reached an instance, in order.
    :ivar instances: instances that the request was sent to, in order.
    """

    kind: RequestKind
    name: str
    key: str = ''
    calls: list[CallRecord] = field(factory=list)
    instances: list[InstanceName] = field(factory=list)


@define
class Callers:
    """All callers, behind the platform's round-robin load balancer.

    :ivar last_retry_s: simulated time after which no caller retries.
    :ivar all_callers: callers by the name of their request.
    """

    world: FaultWorld
    last_retry_s: float = LAST_RETRY_S
    all_callers: dict[str, Caller] = field(factory=dict)
    _ready_instances: list[InstanceName] = field(factory=list)
    _round_robin_index: int = 0

    def start(self) -> None:
        """Poll the readiness of all instances, as a load balancer does.

        The balancer acts on a result after ``BALANCER_LAG_S``.
        """
        ready = [
            InstanceName(name)
            for name in INSTANCES
            if self.world.drivers[InstanceName(name)].ready
        ]
        simulation = self.world.world.simulation
        simulation.schedule(
            BALANCER_LAG_S,
            lambda: setattr(self, '_ready_instances', ready),
        )
        simulation.schedule(READINESS_POLL_INTERVAL_S, self.start)

    def send(self, kind: RequestKind, instance: str = '') -> Caller:
        """Send a new request.

        :param instance: name of the instance to send it to; empty lets the
            balancer choose.
        """
        caller = Caller(kind, f'{kind}-{len(self.all_callers)}')
        self.all_callers[caller.name] = caller
        receiver = (
            InstanceName(instance)
            if instance
            else self._choose_instance(caller)
        )
        if kind is RequestKind.BOOKING:
            self._fetch_key(caller, receiver)
        elif receiver is not None:
            self._send_to(caller, receiver)
        return caller

    def disconnect(self, request: str) -> None:
        """Close the connection of the caller of a request."""
        call = self.world.world.calls.get(RequestId(request))
        if call is not None and call.ended_s is None:
            call.disconnected = True
            call.disconnected_s = self.world.now_s
            driver = self.world.drivers[call.instance]
            driver.handle_event(CallerGone(RequestId(request)))

    def _choose_instance(self, caller: Caller) -> InstanceName | None:
        others = [
            one
            for one in self._ready_instances
            if one not in caller.instances[-1:]
        ]
        candidates = others or self._ready_instances
        if not candidates:
            return None
        self._round_robin_index += 1
        return candidates[self._round_robin_index % len(candidates)]

    def _fetch_key(self, caller: Caller, receiver: InstanceName | None) -> None:
        """Fetch an idempotency key from an instance, then send the request.

        Two thirds of the callers send the request to the instance that made
        the key, the others to the one that the balancer chooses.
        """
        if receiver is None:
            return

        def handle_request() -> str | None:
            driver = self.world.drivers[receiver]
            return driver.request_key(find_organisation(caller))

        def receive_key(key: str | None) -> None:
            if key:
                caller.key = key
                number = int(caller.name.rpartition('-')[2])
                other = (
                    self._choose_instance(caller)
                    if number % 3 == 0
                    else receiver
                )
                self._send_to(caller, other or receiver)

        self.world.world.network.request(
            'callers', receiver, handle_request, receive_key
        )

    def _send_to(self, caller: Caller, receiver: InstanceName) -> None:
        profile = self._make_profile(caller)
        caller.instances.append(receiver)

        def receive() -> None:
            driver = self.world.drivers[receiver]
            call = driver.receive_call(profile)
            caller.calls.append(call)
            self._track_call(caller, call)

        if receiver in self.world.world.network.dead:
            self._retry(caller)
        else:
            self.world.world.network.send('callers', receiver, receive)

    def _track_call(self, caller: Caller, call: CallRecord) -> None:
        def on_end(ended: CallRecord) -> None:
            if not ended.disconnected and not ended.finished:
                self._retry(caller)

        if call.ended_s is None:
            call.on_end = on_end
        else:
            on_end(call)
        self.world.world.simulation.schedule(
            REQUEST_TEMPLATES[caller.kind].caller_timeout_s,
            lambda: self._time_out(caller, call),
        )

    def _time_out(self, caller: Caller, call: CallRecord) -> None:
        if call.ended_s is None and not call.disconnected:
            self.disconnect(call.profile.request_id)
            self._retry(caller)

    def _retry(self, caller: Caller) -> None:
        """Schedule a retry at another instance with the same key."""
        sends = len(caller.instances)
        late = self.world.now_s > self.last_retry_s
        if sends >= MAXIMUM_SENDS or late or _has_run(caller):
            return

        def resend() -> None:
            receiver = self._choose_instance(caller)
            if receiver is not None:
                self._send_to(caller, receiver)

        self.world.world.simulation.schedule(RETRY_DELAY_S * sends, resend)

    def _make_profile(self, caller: Caller) -> CallProfile:
        template = REQUEST_TEMPLATES[caller.kind]
        now_s = self.world.now_s
        number = len(caller.instances)
        return CallProfile(
            request_id=RequestId(f'{caller.name}-try{number}'),
            organisation=find_organisation(caller),
            service='writer' if template.path.startswith('/v1') else 'desk',
            model=template.path.startswith('/v1'),
            path=template.path,
            idempotent=caller.kind is not RequestKind.BOOKING,
            key=caller.key,
            body_digest=caller.name,
            prompt_tokens=template.prompt_tokens,
            output_tokens=template.output_tokens,
            prefix_digests=(),
            priority=5,
            deadline_s=now_s + template.time_limit_s,
            received_s=now_s,
        )


def find_organisation(caller: Caller) -> str:
    """Return the organisation of a caller."""
    number = int(caller.name.rpartition('-')[2])
    return ORGANISATIONS[number % len(ORGANISATIONS)]


def _has_run(caller: Caller) -> bool:
    refusal = caller.calls[-1].refusal if caller.calls else None
    return refusal is not None and refusal.verdict is Verdict.RAN
