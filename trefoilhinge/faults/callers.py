"""Callers of the small deployment: they retry as copied examples do."""

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

MAXIMUM_TRIES = 4
RETRY_DELAY_S = 0.7
LAST_RETRY_S = 20.0
LOOK_INTERVAL_S = 0.25
BALANCER_LAG_S = 1.0


class Kind(enum.StrEnum):
    """Kinds of request that callers send."""

    SHORT = 'short'
    LONG = 'long'
    GROUP = 'group'
    BOOKING = 'booking'
    LOOKUP = 'lookup'


@frozen
class KindSizes:
    """What a request of one kind asks for.

    :ivar patience_s: seconds after which its caller tries elsewhere.
    """

    path: str
    prompt_tokens: int
    output_tokens: int
    time_s: float
    patience_s: float


SIZES = {
    Kind.SHORT: KindSizes('/v1/completions', 1000, 10, 12, 30),
    Kind.LONG: KindSizes('/v1/completions', 60_000, 12, 15, 30),
    Kind.GROUP: KindSizes('/v1/completions', 230_000, 10, 18, 30),
    Kind.BOOKING: KindSizes('/bookings', 200, 0, 10, 4),
    Kind.LOOKUP: KindSizes('/lookup', 200, 0, 8, 3),
}


@define
class Caller:
    """Sends one request and tries again when the answer is unclear.

    :ivar calls: every try, in order.
    :ivar key: the request's idempotency key, empty if it has none.
    """

    kind: Kind
    name: str
    key: str = ''
    calls: list[CallRecord] = field(factory=list)
    instances: list[InstanceName] = field(factory=list)


@define
class Callers:
    """Every caller, behind the platform's balancer.

    :ivar all_callers: callers by the name of their request.
    :ivar last_retry_s: simulated time past which nobody tries again.
    """

    world: FaultWorld
    last_retry_s: float = LAST_RETRY_S
    all_callers: dict[str, Caller] = field(factory=dict)
    _ready: list[InstanceName] = field(factory=list)
    _turn: int = 0

    def start(self) -> None:
        """Begin to look which instances are ready, as a balancer does."""
        ready = [
            InstanceName(name)
            for name in INSTANCES
            if self.world.drivers[InstanceName(name)].ready
        ]
        simulation = self.world.world.simulation
        simulation.schedule(
            BALANCER_LAG_S,
            lambda: setattr(self, '_ready', ready),
        )
        simulation.schedule(LOOK_INTERVAL_S, self.start)

    def send(self, kind: Kind, instance: str = '') -> Caller:
        """Send a new request, to the balancer's choice or to an instance."""
        caller = Caller(kind, f'{kind}-{len(self.all_callers)}')
        self.all_callers[caller.name] = caller
        at = InstanceName(instance) if instance else self._choose(caller)
        if kind is Kind.BOOKING:
            self._fetch_key(caller, at)
        elif at is not None:
            self._try_at(caller, at)
        return caller

    def leave(self, request: str) -> None:
        """Have the caller of a request close its connection."""
        call = self.world.world.calls.get(RequestId(request))
        if call is not None and call.ended_s is None:
            call.disconnected = True
            call.disconnected_s = self.world.now_s
            driver = self.world.drivers[call.instance]
            driver.handle_event(CallerGone(RequestId(request)))

    def _choose(self, caller: Caller) -> InstanceName | None:
        fresh = [one for one in self._ready if one not in caller.instances[-1:]]
        pool = fresh or self._ready
        if not pool:
            return None
        self._turn += 1
        return pool[self._turn % len(pool)]

    def _fetch_key(self, caller: Caller, at: InstanceName | None) -> None:
        """Ask an instance for a key; two in three send at that one."""
        if at is None:
            return

        def serve() -> str | None:
            driver = self.world.drivers[at]
            return driver.request_key(find_organisation(caller))

        def take(key: str | None) -> None:
            if key:
                caller.key = key
                number = int(caller.name.rpartition('-')[2])
                other = self._choose(caller) if number % 3 == 0 else at
                self._try_at(caller, other or at)

        self.world.world.network.request('callers', at, serve, take)

    def _try_at(self, caller: Caller, at: InstanceName) -> None:
        profile = self._make_profile(caller)
        caller.instances.append(at)

        def arrive() -> None:
            driver = self.world.drivers[at]
            call = driver.receive_call(profile)
            caller.calls.append(call)
            self._follow(caller, call)

        if at in self.world.world.network.dead:
            self._retry(caller)
        else:
            self.world.world.network.send('callers', at, arrive)

    def _follow(self, caller: Caller, call: CallRecord) -> None:
        def on_end(ended: CallRecord) -> None:
            if not ended.disconnected and not ended.finished:
                self._retry(caller)

        if call.ended_s is None:
            call.on_end = on_end
        else:
            on_end(call)
        self.world.world.simulation.schedule(
            SIZES[caller.kind].patience_s,
            lambda: self._lose_patience(caller, call),
        )

    def _lose_patience(self, caller: Caller, call: CallRecord) -> None:
        if call.ended_s is None and not call.disconnected:
            self.leave(call.profile.request_id)
            self._retry(caller)

    def _retry(self, caller: Caller) -> None:
        """Try again somewhere else, under the same key."""
        tries = len(caller.instances)
        late = self.world.now_s > self.last_retry_s
        if tries >= MAXIMUM_TRIES or late or _is_settled(caller):
            return

        def again() -> None:
            at = self._choose(caller)
            if at is not None:
                self._try_at(caller, at)

        self.world.world.simulation.schedule(RETRY_DELAY_S * tries, again)

    def _make_profile(self, caller: Caller) -> CallProfile:
        sizes = SIZES[caller.kind]
        now_s = self.world.now_s
        number = len(caller.instances)
        return CallProfile(
            request_id=RequestId(f'{caller.name}-try{number}'),
            organisation=find_organisation(caller),
            service='writer' if sizes.path.startswith('/v1') else 'desk',
            model=sizes.path.startswith('/v1'),
            path=sizes.path,
            idempotent=caller.kind is not Kind.BOOKING,
            key=caller.key,
            body_digest=caller.name,
            prompt_tokens=sizes.prompt_tokens,
            output_tokens=sizes.output_tokens,
            prefix_digests=(),
            priority=5,
            deadline_s=now_s + sizes.time_s,
            received_s=now_s,
        )


def find_organisation(caller: Caller) -> str:
    """Return the organisation that a caller belongs to."""
    number = int(caller.name.rpartition('-')[2])
    return ORGANISATIONS[number % len(ORGANISATIONS)]


def _is_settled(caller: Caller) -> bool:
    refusal = caller.calls[-1].refusal if caller.calls else None
    return refusal is not None and refusal.verdict is Verdict.RAN
