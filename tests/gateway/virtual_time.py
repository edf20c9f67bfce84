"""An event loop whose clock advances at once to the next timer."""

import asyncio
import selectors

BEGIN_S = 1000.0


class _VirtualSelector(selectors.SelectSelector):
    now_s = BEGIN_S

    def select(self, timeout=None):
        self.now_s += max(0, timeout or 0)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs timers without waiting for them; for tests without sockets."""

    def __init__(self):
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self):
        return self._virtual_selector.now_s


def run_virtually(coroutine):
    """Run a coroutine to its end on a virtual clock."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)
