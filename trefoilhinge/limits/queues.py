"""Fair queue of calls, weighted by tokens between organisations."""

import heapq
import itertools
from collections import deque
from collections.abc import Iterator

from attrs import define, field

from trefoilhinge.core.identifiers import RequestId
from trefoilhinge.core.profiles import CallProfile

# Largest number of calls of one organisation that one iteration yields.
LOOKAHEAD_CALLS = 64


@define
class _OrganisationQueue:
    """Queued calls of one organisation.

    :ivar virtual_start: virtual start time of its first call.
    :ivar calls: queued calls, oldest first.
    """

    virtual_start: float = 0
    calls: deque[CallProfile] = field(factory=deque)


@define
class FairQueue:
    """Start-time fair queue between organisations.

    The organisation with the smallest virtual start time is served first. That
    time grows with each served call by the call's tokens divided by the weight
    of the organisation. An organisation that was idle starts at the current
    virtual time, so it neither accumulates credit nor starves.
    """

    _queues: dict[str, _OrganisationQueue] = field(factory=dict)
    _weights: dict[str, float] = field(factory=dict)
    _organisations_by_request: dict[RequestId, str] = field(factory=dict)
    _retried: dict[RequestId, CallProfile] = field(factory=dict)
    _virtual_time: float = 0
    _queued_tokens: int = 0

    def configure(self, weights: dict[str, float]) -> None:
        """Set the weights of the organisations."""
        self._weights = weights

    def add(self, profile: CallProfile) -> None:
        """Queue a call behind the other calls of its organisation."""
        queue = self._queues.setdefault(
            profile.organisation, _OrganisationQueue()
        )
        if not queue.calls:
            queue.virtual_start = max(queue.virtual_start, self._virtual_time)
        queue.calls.append(profile)
        self._organisations_by_request[profile.request_id] = (
            profile.organisation
        )
        self._queued_tokens += profile.total_tokens

    def requeue(self, profile: CallProfile) -> None:
        """Queue a call that was already served, ahead of all others."""
        if profile.request_id not in self._retried:
            self._retried[profile.request_id] = profile
            self._queued_tokens += profile.total_tokens

    def remove(self, request_id: RequestId) -> None:
        """Remove a call, if it is queued."""
        retried = self._retried.pop(request_id, None)
        if retried is not None:
            self._queued_tokens -= retried.total_tokens
        name = self._organisations_by_request.pop(request_id, None)
        if name is None:
            return
        queue = self._queues[name]
        for profile in queue.calls:
            if profile.request_id == request_id:
                queue.calls.remove(profile)
                self._queued_tokens -= profile.total_tokens
                self._charge(queue, profile)
                break

    def iterate(self) -> Iterator[CallProfile]:
        """Yield calls in the order to serve them, without removing them."""
        yield from tuple(self._retried.values())
        heads = [
            (queue.virtual_start, name, 0)
            for name, queue in self._queues.items()
            if queue.calls
        ]
        heapq.heapify(heads)
        # Callers remove served calls while they iterate, hence the copies.
        copies = {
            name: tuple(
                itertools.islice(self._queues[name].calls, LOOKAHEAD_CALLS)
            )
            for _, name, _ in heads
        }
        while heads:
            start, name, position = heapq.heappop(heads)
            profile = copies[name][position]
            yield profile
            if position + 1 < len(copies[name]):
                cost = profile.total_tokens / self._get_weight(name)
                heapq.heappush(heads, (start + cost, name, position + 1))

    def count(self) -> int:
        """Return the number of queued calls."""
        return len(self._organisations_by_request) + len(self._retried)

    def count_tokens(self) -> int:
        """Return the tokens of the queued calls."""
        return self._queued_tokens

    def count_organisation(self, organisation: str) -> int:
        """Return the number of queued calls of an organisation."""
        queue = self._queues.get(organisation)
        return 0 if queue is None else len(queue.calls)

    def _charge(self, queue: _OrganisationQueue, profile: CallProfile) -> None:
        self._virtual_time = max(self._virtual_time, queue.virtual_start)
        weight = self._get_weight(profile.organisation)
        queue.virtual_start += profile.total_tokens / weight

    def _get_weight(self, organisation: str) -> float:
        # The minimum bounds the virtual time that one call adds.
        return max(0.001, self._weights.get(organisation, 1))
