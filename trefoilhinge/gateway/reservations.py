"""KV memory reserved at engines for one call, under short leases.

A lease is renewed while the call runs and released when the call ends. If the
instance dies, the engine frees the memory when the lease expires.
"""

import asyncio
import itertools

from attrs import define, field

from trefoilhinge.dispatch.calls import PrefillHelper
from trefoilhinge.dispatch.settings import parse_address
from trefoilhinge.dispatch.targets import TargetRecord
from trefoilhinge.gateway.cold_targets import is_cold
from trefoilhinge.gateway.evacuations import is_address_evacuated
from trefoilhinge.gateway.http_client import FetchFailed, fetch
from trefoilhinge.gateway.liveness import probe_target
from trefoilhinge.gateway.peer_exchange import PeerExchange
from trefoilhinge.gateway.state import GatewayState
from trefoilhinge.gateway.target_connections import AnswerBroken
from trefoilhinge.gateway.target_needs import find_record, record_needs
from trefoilhinge.platform import reservations

LEASE_FRACTION = 0.75  # of the time within which unused memory must be free
RENEWALS_PER_LEASE = 3  # two may be lost before the lease expires
# Of these turns, one renews memory at a target that named a limit.
LIMITED_RENEWAL_TURNS = 2
MAXIMUM_ORDER_ANSWER_BYTES = 65_536
ORDER_TIMEOUT_S = 0.5  # an engine answers an order within milliseconds
RELEASE_DELAYS_S = (0, 0.5, 1.5)  # before each attempt at a release
# Before each further release after an order went unanswered: a reservation that
# was delayed on the network may take effect that late.
LATE_RELEASE_DELAYS_S = (4.0, 4.0, 4.0)


@define
class Reservations:
    """The reservations of one call.

    :ivar helpers: targets and the identifiers of their reservations, in the
        order in which the reserved memory is filled.
    """

    _state: GatewayState
    _peers: PeerExchange
    helpers: tuple[PrefillHelper, ...]
    _tokens: tuple[int, ...]
    _unanswered: set[str] = field(factory=set)  # by an order at least
    _renewal: asyncio.Task[None] | None = None
    _is_released: bool = False

    async def reserve_all(self) -> bool:
        """Order all reservations concurrently and renew them from then on.

        :return: whether every engine granted its reservation.
        """
        answers = await asyncio.gather(
            *(
                self._reserve(helper, tokens)
                for helper, tokens in zip(
                    self.helpers, self._tokens, strict=True
                )
            )
        )
        if all(answer == reservations.RESERVED_STATUS for answer in answers):
            self._renewal = asyncio.ensure_future(self._renew())
            return True
        return False

    def release(self) -> None:
        """Stop renewals and release all reservations in the background."""
        if self._is_released:
            return
        self._is_released = True
        if self._renewal is not None:
            self._renewal.cancel()
        for helper in self.helpers:
            task = asyncio.ensure_future(self._release(helper))
            _RELEASE_TASKS.add(task)
            task.add_done_callback(_RELEASE_TASKS.discard)

    async def _reserve(self, helper: PrefillHelper, tokens: int) -> int | None:
        """Order a reservation; return the status of the answer, if any."""
        body = reservations.encode_reservation(
            helper.reservation_id, tokens, self._find_lease_s()
        )
        return await self._order(helper, body)

    def _find_lease_s(self) -> float:
        bounds = self._state.settings.bounds
        return min(bounds.hold_maximum_s, bounds.free_s * LEASE_FRACTION)

    async def _renew(self) -> None:
        for turn in itertools.count():
            await asyncio.sleep(self._find_lease_s() / RENEWALS_PER_LEASE)
            is_skipped_if_limited = turn % LIMITED_RENEWAL_TURNS
            due = [
                (helper, tokens)
                for helper, tokens in zip(
                    self.helpers, self._tokens, strict=True
                )
                if self._may_renew(
                    helper, is_first_turn=not is_skipped_if_limited
                )
            ]
            answers = await asyncio.gather(
                *(self._reserve(helper, tokens) for helper, tokens in due)
            )
            silent = [
                helper
                for (helper, _), answer in zip(due, answers, strict=True)
                if answer is None
            ]
            if await self._has_dark_target(silent):
                self.release()
                return

    async def _has_dark_target(self, silent: list[PrefillHelper]) -> bool:
        """Return whether a target that holds memory of the prompt is gone.

        The prompt cannot be served without it, so that the memory elsewhere is
        of no use any more, whatever becomes of the call.

        Targets of evacuated failure domains are not probed.

        :param silent: targets that did not answer a renewal.
        """
        for helper in silent:
            if is_address_evacuated(self._state, helper.address):
                continue
            try:
                await probe_target(helper.address)
            except AnswerBroken as problem:
                self._state.log.write(
                    'memory_void',
                    address=helper.address,
                    ticket=helper.reservation_id,
                    problem=problem,
                )
                return True
        return False

    def _may_renew(self, helper: PrefillHelper, *, is_first_turn: bool) -> bool:
        """Return whether a reservation is renewed in this turn.

        Two turns make up a round; the second is left out at a target that
        named a limit or asked for rest.
        """
        record = self._find_resting(helper)
        if record is not None:
            return is_first_turn and self._state.rests.take_renewal(record)
        return (
            is_first_turn or self._find_limited_target(helper.address) is None
        )

    def _find_resting(self, helper: PrefillHelper) -> TargetRecord | None:
        """Return the target of a reservation if it asked for rest."""
        rests = self._state.rests
        if rests.is_empty:
            return None
        record = find_record(self._state, helper.address)
        if record is None or not rests.is_resting(
            record, self._state.get_now_s()
        ):
            return None
        return record

    async def _release(self, helper: PrefillHelper) -> None:
        body = reservations.encode_release(helper.reservation_id)
        for delay_s in RELEASE_DELAYS_S:
            await asyncio.sleep(delay_s)
            is_resting = self._find_resting(helper) is not None
            if is_resting or (delay_s and self._is_left_to_lease(helper)):
                return
            if await self._order(helper, body) is not None:
                break
        if helper.reservation_id in self._unanswered:
            for late_s in LATE_RELEASE_DELAYS_S:
                await asyncio.sleep(late_s)
                if self._find_resting(
                    helper
                ) is None and not self._is_left_to_lease(helper):
                    await self._order(helper, body)

    def _is_left_to_lease(self, helper: PrefillHelper) -> bool:
        """Return whether a release is not repeated, but left to the lease.

        Repetitions would take up the requests of a target that named a limit,
        or that is cold.
        """
        record = find_record(self._state, helper.address)
        if record is not None and is_cold(self._state, record):
            return True
        return self._find_limited_target(helper.address) is not None

    async def _order(self, helper: PrefillHelper, body: bytes) -> int | None:
        address = parse_address(helper.address)
        record = find_record(self._state, helper.address)
        limited = self._find_limited_target(helper.address)
        if limited is not None:
            self._peers.broadcast_target_ordered(limited)
        # An order that is cancelled on its way gets no answer either.
        was_answered = helper.reservation_id not in self._unanswered
        self._unanswered.add(helper.reservation_id)
        try:
            fetched = await fetch(
                address,
                reservations.ORDER_PATH,
                ORDER_TIMEOUT_S,
                body,
                maximum_bytes=MAXIMUM_ORDER_ANSWER_BYTES,
            )
        except FetchFailed as problem:
            self._state.log.write(
                'order_unanswered',
                address=helper.address,
                ticket=helper.reservation_id,
                problem=problem,
            )
            return None
        if was_answered:
            self._unanswered.discard(helper.reservation_id)
        self._state.metrics.increment('orders', status=str(fetched.status))
        if record is not None:
            head = reservations.decode_order_head(
                fetched.status, fetched.headers
            )
            record_needs(self._state, self._peers, record, head)
        return fetched.status

    def _find_limited_target(self, address: str) -> str | None:
        """Return the target at an address if it named a limit meanwhile."""
        for named in self._state.rate_limits.list_limits():
            record = self._state.directory.records.get(named.target)
            if record is not None and record.address == address:
                return named.target
        return None


# Releases outlive their call; the event loop keeps only weak references.
_RELEASE_TASKS: set[asyncio.Task[None]] = set()


async def reserve(
    state: GatewayState,
    peers: PeerExchange,
    request_id: str,
    requested: list[tuple[str, int]],
) -> Reservations | None:
    """Reserve memory at each address, all of it or none.

    :param request_id: identifier that the caller chose, for the log.
    :param requested: address and tokens of each reservation.
    :return: the reservations, or ``None`` if any was not granted.
    """
    name = state.make_reservation_name()
    helpers = tuple(
        PrefillHelper(address, f'{name}-{position}')
        for position, (address, _) in enumerate(requested)
    )
    reservations = Reservations(
        state, peers, helpers, tuple(tokens for _, tokens in requested)
    )
    try:
        reserved = await reservations.reserve_all()
    except asyncio.CancelledError:
        reservations.release()
        raise
    state.log.write(
        'memory_reserved' if reserved else 'memory_refused',
        request=request_id,
        ticket=name,
        targets=len(helpers),
        tokens=sum(tokens for _, tokens in requested),
    )
    if reserved:
        return reservations
    reservations.release()
    return None


async def finish_releases(limit_s: float) -> None:
    """Wait until targets have confirmed the releases that are under way.

    :param limit_s: seconds after which the rest is left to the leases.
    """
    if _RELEASE_TASKS:
        await asyncio.wait(_RELEASE_TASKS, timeout=limit_s)
