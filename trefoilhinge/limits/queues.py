"""Calls that wait, ordered fairly between organisations by tokens."""

import heapq
import itertools
from collections import deque
from collections.abc import Iterator

from attrs import define, field

from trefoilhinge.core.identifiers import RequestId
from trefoilhinge.core.profiles import CallProfile

# Calls of one organisation that one pass may yield.
LOOKAHEAD_CALLS = 64


@define
class _OrganisationQueue:
    """Waiting calls of one organisation.

    :ivar start: virtual time at which its first call may be served.
    """

    start: float = 0
    calls: deque[CallProfile] = field(factory=deque)


@define
class FairQueue:
    """Serves the organisation that has had the least tokens for its weight.

    Start-time fair queueing: each organisation has a virtual time that grows
    by the tokens of a served call over its weight. One that was idle begins
    at the present virtual time, so it neither saves up nor starves.
    """

    _queues: dict[str, _OrganisationQueue] = field(factory=dict)
    _weights: dict[str, float] = field(factory=dict)
    _organisations_by_request: dict[RequestId, str] = field(factory=dict)
    _retried: dict[RequestId, CallProfile] = field(factory=dict)
    _virtual_time: float = 0
    _queued_tokens: int = 0

    def configure(self, weights: dict[str, float]) -> None:
        """Take the weights of a document."""
        self._weights = weights

    def add(self, profile: CallProfile) -> None:
        """Queue a call behind those of its organisation."""
        line = self._queues.setdefault(
            profile.organisation, _OrganisationQueue()
        )
        if not line.calls:
            line.start = max(line.start, self._virtual_time)
        line.calls.append(profile)
        self._organisations_by_request[profile.request_id] = (
            profile.organisation
        )
        self._queued_tokens += profile.total_tokens

    def requeue(self, profile: CallProfile) -> None:
        """Queue a call that was served before, ahead of all others."""
        if profile.request_id not in self._retried:
            self._retried[profile.request_id] = profile
            self._queued_tokens += profile.total_tokens

    def remove(self, request_id: RequestId) -> None:
        """Take a call out; no error if it is not there."""
        retried = self._retried.pop(request_id, None)
        if retried is not None:
            self._queued_tokens -= retried.total_tokens
        name = self._organisations_by_request.pop(request_id, None)
        if name is None:
            return
        line = self._queues[name]
        for profile in line.calls:
            if profile.request_id == request_id:
                line.calls.remove(profile)
                self._queued_tokens -= profile.total_tokens
                self._charge(line, profile)
                break

    def iterate(self) -> Iterator[CallProfile]:
        """Yield calls in the order to serve them, without taking any."""
        yield from tuple(self._retried.values())
        heads = [
            (line.start, name, 0)
            for name, line in self._queues.items()
            if line.calls
        ]
        heapq.heapify(heads)
        # Served calls leave their line while this runs, hence the copies.
        copies = {
            name: tuple(
                itertools.islice(self._queues[name].calls, LOOKAHEAD_CALLS)
            )
            for _, name, _ in heads
        }
        while heads:
            start, name, place = heapq.heappop(heads)
            profile = copies[name][place]
            yield profile
            if place + 1 < len(copies[name]):
                cost = profile.total_tokens / self._get_weight(name)
                heapq.heappush(heads, (start + cost, name, place + 1))

    def count(self) -> int:
        """Return how many calls wait."""
        return len(self._organisations_by_request) + len(self._retried)

    def count_tokens(self) -> int:
        """Return the tokens of the calls that wait."""
        return self._queued_tokens

    def count_organisation(self, organisation: str) -> int:
        """Return how many calls of an organisation wait."""
        line = self._queues.get(organisation)
        return 0 if line is None else len(line.calls)

    def _charge(self, line: _OrganisationQueue, profile: CallProfile) -> None:
        self._virtual_time = max(self._virtual_time, line.start)
        weight = self._get_weight(profile.organisation)
        line.start += profile.total_tokens / weight

    def _get_weight(self, organisation: str) -> float:
        return max(0.001, self._weights.get(organisation, 1))
