"""Turns of connections whose requests are long."""

import asyncio
from collections import deque

from attrs import define, field


@define(eq=False)
class ReadTurns:
    """Lets long requests be parsed one part at a time.

    The parts of many connections that have arrived together would otherwise be
    parsed before anything else is done. One is parsed in each turn of the
    event loop, in the order in which they arrived.
    """

    _waiting: deque[asyncio.Future[None]] = field(factory=deque)
    _is_taken: bool = False

    async def wait(self) -> None:
        """Wait for the turn of a connection."""
        loop = asyncio.get_running_loop()
        if not self._is_taken:
            self._is_taken = True
            loop.call_soon(self._pass_on)
            return
        turn = loop.create_future()
        self._waiting.append(turn)
        await turn

    def _pass_on(self) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                asyncio.get_running_loop().call_soon(self._pass_on)
                return
        self._is_taken = False
