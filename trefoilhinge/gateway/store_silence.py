"""Reads that the platform's store does not answer, and what they prove."""

from attrs import define

from trefoilhinge.gateway.state import GatewayState
from trefoilhinge.gateway.store_reads import StoreReads

# A longer outage may have hidden several documents.
CATCH_UP_AFTER_S = 1.0


@define
class StoreSilence:
    """Tells a store that is away from an answer that is late or was lost.

    :ivar needs_catch_up: whether the store was away for so long that several
        documents may have been written; until they are read.
    :ivar _answered_s: monotonic seconds of the latest answer, none before the
        first.
    :ivar _since_s: monotonic seconds since which the store may have been away,
        while a read is overdue or after one that was cut; none if the last
        read was answered, or if the store is known to be away.
    """

    _state: GatewayState
    _reads: StoreReads
    needs_catch_up: bool = False
    _answered_s: float | None = None
    _since_s: float | None = None

    @property
    def may_be_away(self) -> bool:
        """Return whether the last read was not answered, or not yet."""
        outages = self._state.directory.outages
        return (
            self._since_s is not None or outages.unreachable_since_s is not None
        )

    @property
    def is_uncertain(self) -> bool:
        """Return whether only own reads tell what a missing entry means."""
        outages = self._state.directory.outages
        return (
            self.may_be_away
            or outages.find_grace_end(self._state.get_now_s()) is not None
        )

    def find_begin_s(self, read_began_s: float) -> float:
        """Return since when the store may not have answered.

        :param read_began_s: monotonic seconds at which a read began that was
            not answered yet.
        """
        if self._answered_s is None:
            return read_began_s
        return self._reads.find_silence_begin(self._answered_s)

    def record_overdue(self, read_began_s: float) -> None:
        """Record that a read got no answer in time, and is repeated."""
        self._state.metrics.increment('store_reads_overdue')
        if self.may_be_away:
            return
        self._since_s = self.find_begin_s(read_began_s)
        now_s = self._state.get_now_s()
        self._state.log.write(
            'store_read_overdue',
            waited_s=now_s - read_began_s,
            silent_s=now_s - self._since_s,
        )

    def record_cut(self, read_began_s: float, problem: str) -> None:
        """Record that the store ended a watch, as it may at any time."""
        self._since_s = self.find_begin_s(read_began_s)
        self._state.metrics.increment('watches_cut')
        self._state.log.write(
            'watch_cut',
            waited_s=self._state.get_now_s() - read_began_s,
            problem=problem,
        )

    def record_failure(self, read_began_s: float, problem: str) -> None:
        """Record that a read and its repetitions got no usable answer."""
        outages = self._state.directory.outages
        is_known = self._state.directory.revision > 0
        if outages.unreachable_since_s is None and is_known:
            self._state.log.write('store_lost', problem=problem)
        self._state.metrics.increment('store_failures')
        since_s = self._since_s
        if since_s is None:
            since_s = self.find_begin_s(read_began_s)
        self._since_s = None
        outages.mark_unreachable(since_s)
        unreachable_s = outages.count_unreachable_s(self._state.get_now_s())
        if unreachable_s >= CATCH_UP_AFTER_S:
            self.needs_catch_up = True

    def record_answer(self) -> None:
        """Record that the store answered."""
        outages = self._state.directory.outages
        now_s = self._state.get_now_s()
        if outages.unreachable_since_s is not None:
            away_s = now_s - outages.unreachable_since_s
            self._state.log.write('store_regained', away_s=away_s)
        outages.mark_reachable(now_s)
        self._answered_s = now_s
        if self._since_s is None:
            return
        outages.mark_silent(self._since_s, now_s)
        self._state.log.write(
            'store_answered_again',
            silent_s=now_s - self._since_s,
            may_have_expired=outages.find_grace_end(now_s) is not None,
        )
        self._since_s = None
