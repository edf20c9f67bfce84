"""Load that switches between few long and many short prompts in a soak."""

import asyncio
import time
from collections.abc import Iterable

from attrs import define, field, frozen

from trefoilhinge.soak.records import QUEUED_NAME, ObservedCall

SETTLE_S = 2.0  # from the switch to short prompts until they are on time
FIRST_EVENT_S = 1.0  # of a short prompt; several times its objective
MAXIMUM_LATE_SHARE = 0.25
MINIMUM_CALLS = 20  # fewer show nothing
# Of the engines, as the document of a soak publishes them.
ENGINE_SLOTS = 8
SCARCE_SLOTS = 2
DEADLINE_S = 4.0  # of calls, usually
PREFILL_TOKENS_PER_S = 206_000.0
EVENT_INTERVAL_S = 0.05  # between two events of an answer, usually


@frozen
class Demand:
    """What the callers ask for while the load is one-sided.

    :ivar callers: number of callers, each with one call at a time.
    :ivar token_count: prompt tokens and maximum output tokens.
    :ivar name_in_path: rest of the path of the calls.
    :ivar prefill_tokens_per_s: speed of an engine meanwhile.
    :ivar event_interval_s: seconds between two events of an answer.
    """

    name: str
    callers: int
    token_count: str
    deadline_s: float = DEADLINE_S
    name_in_path: str = '1'
    prefill_tokens_per_s: float = PREFILL_TOKENS_PER_S
    event_interval_s: float = EVENT_INTERVAL_S


LONG_DEMAND = Demand('long', 2, '300000,1300')
# Three quarters of the slots of all engines.
SHORT_DEMAND = Demand('short', 24, '5000,1300')

# Four times the slots of all engines where these are scarce. They take some 13
# calls a second, so that about a third are refused.
SCARCE_DEMAND = Demand('scarce', 32, '5000,1300', 2)

QUEUED_TIMEOUT_S = 14.0  # longer than a stop
# An engine cannot hold such a prompt alone and would take 5.1 s to prefill it,
# as its published profile says, so that the last waits for longer than a stop.
QUEUED_DEMAND = Demand(
    'queued',
    24,
    '160000,1300',
    QUEUED_TIMEOUT_S,
    f'{QUEUED_NAME}/1',
    prefill_tokens_per_s=63_000.0,
    event_interval_s=0.2,
)


@frozen
class ObservedSwitch:
    """Time in which short prompts are to be on time after a switch."""

    begin_s: float
    end_s: float


@define
class EnginePrefills:
    """Prefills of all engines, one after the other at each of them.

    :ivar free_s: time at which an engine has prefilled what it got, by the
        address in its entry.
    """

    free_s: dict[str, float] = field(factory=dict)

    async def prefill(
        self, addresses: Iterable[str], tokens: int, tokens_per_s: float
    ) -> None:
        """Prefill a prompt, in equal parts at the given engines."""
        engines = sorted(set(addresses))
        part_s = tokens / tokens_per_s / len(engines)
        now_s = time.monotonic()
        for engine in engines:
            begin_s = max(now_s, self.free_s.get(engine, now_s))
            self.free_s[engine] = begin_s + part_s
        end_s = max(self.free_s[engine] for engine in engines)
        await asyncio.sleep(end_s - now_s)


def find_late_share(
    switch: ObservedSwitch, calls: Iterable[ObservedCall]
) -> float:
    """Return the share of the short prompts that were late after a switch.

    :return: zero if there were too few.
    """
    checked = [
        call
        for call in calls
        if call.demand == SHORT_DEMAND.name
        and call.key_revoked_s is None
        and switch.begin_s <= call.sent_s
        and call.sent_s + FIRST_EVENT_S < switch.end_s
    ]
    if len(checked) < MINIMUM_CALLS:
        return 0
    late = sum(
        call.first_s is None or call.first_s > call.sent_s + FIRST_EVENT_S
        for call in checked
    )
    return late / len(checked)
