"""Memory reserved at engines for one call, leased in short terms.

A lease is renewed while the call runs and released when it ends. Whoever
dies, the engine frees the memory when the short lease runs out.
"""

import asyncio

from attrs import define, field

from trefoilhinge.dispatch.calls import HelperPlace
from trefoilhinge.dispatch.settings import parse_address
from trefoilhinge.gateway.state import Beliefs
from trefoilhinge.gateway.http_client import FetchFailed, fetch
from trefoilhinge.platform import orders

LEASE_SHARE = 0.75  # of the time in which unused memory must be free
RENEWALS = 3  # in one lease; two may be lost before it runs out
ORDER_TIMEOUT_S = 0.5  # an engine takes milliseconds for an order
RELEASE_TRIES_S = (0, 0.5, 1.5)  # pauses before each release that failed
LATE_RELEASES_S = (4.0, 4.0, 4.0)  # an unanswered order may come that late
TICKET_LETTERS = 16  # of the request's identifier in a ticket's name


@define
class Reservations:
    """What one call reserved.

    :ivar places: the tickets, in the order in which they are filled.
    """

    _beliefs: Beliefs
    places: tuple[HelperPlace, ...]
    _tokens: tuple[int, ...]
    _unanswered: set[str] = field(factory=set)
    _renewal: asyncio.Task[None] | None = None

    async def reserve_all(self) -> bool:
        """Reserve every ticket at once; return whether all were had."""
        answers = await asyncio.gather(
            *(
                self._reserve(place, tokens)
                for place, tokens in zip(self.places, self._tokens, strict=True)
            )
        )
        if all(answers):
            self._renewal = asyncio.ensure_future(self._renew())
            return True
        return False

    def release(self) -> None:
        """Release every ticket, in the background."""
        if self._renewal is not None:
            self._renewal.cancel()
        for place in self.places:
            task = asyncio.ensure_future(self._release(place))
            _BACKGROUND.add(task)
            task.add_done_callback(_BACKGROUND.discard)

    async def _reserve(self, place: HelperPlace, tokens: int) -> bool:
        body = orders.encode_reservation(
            place.ticket, tokens, self._find_lease_s()
        )
        status = await self._order(place, body)
        return status == orders.RESERVED

    def _find_lease_s(self) -> float:
        bounds = self._beliefs.settings.bounds
        return min(bounds.hold_maximum_s, bounds.free_s * LEASE_SHARE)

    async def _renew(self) -> None:
        while True:
            await asyncio.sleep(self._find_lease_s() / RENEWALS)
            await asyncio.gather(
                *(
                    self._reserve(place, tokens)
                    for place, tokens in zip(
                        self.places, self._tokens, strict=True
                    )
                )
            )

    async def _release(self, place: HelperPlace) -> None:
        for pause_s in RELEASE_TRIES_S:
            await asyncio.sleep(pause_s)
            body = orders.encode_release(place.ticket)
            if await self._order(place, body) is not None:
                break
        if place.ticket in self._unanswered:
            for pause_s in LATE_RELEASES_S:
                await asyncio.sleep(pause_s)
                await self._order(place, orders.encode_release(place.ticket))

    async def _order(self, place: HelperPlace, body: bytes) -> int | None:
        address = parse_address(place.address)
        try:
            fetched = await fetch(
                address, orders.ORDER_PATH, ORDER_TIMEOUT_S, body
            )
        except FetchFailed as problem:
            self._unanswered.add(place.ticket)
            self._beliefs.log.write(
                'order_unanswered',
                address=place.address,
                ticket=place.ticket,
                problem=problem,
            )
            return None
        self._beliefs.counters.add('orders', status=str(fetched.status))
        return fetched.status


# Releases that outlive their call; the loop keeps only weak references.
_BACKGROUND: set[asyncio.Task[None]] = set()


async def reserve(
    beliefs: Beliefs,
    request_id: str,
    wanted: list[tuple[str, int]],
) -> Reservations | None:
    """Reserve tokens at each address, all of them or none."""
    name = f'{request_id[:TICKET_LETTERS]}-{beliefs.make_run_number()}'
    places = tuple(
        HelperPlace(address, f'{name}-{position}')
        for position, (address, _) in enumerate(wanted)
    )
    reservations = Reservations(
        beliefs, places, tuple(tokens for _, tokens in wanted)
    )
    try:
        reserved = await reservations.reserve_all()
    except asyncio.CancelledError:
        reservations.release()
        raise
    beliefs.log.write(
        'memory_reserved' if reserved else 'memory_refused',
        request=request_id,
        ticket=name,
        targets=len(places),
        tokens=sum(tokens for _, tokens in wanted),
    )
    if reserved:
        return reservations
    reservations.release()
    return None
