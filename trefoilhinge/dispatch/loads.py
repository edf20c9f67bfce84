"""Load of each target, as reported by all instances."""

from collections.abc import Iterable

from attrs import define, field, frozen

from trefoilhinge.dispatch.documents import EngineProfile
from trefoilhinge.dispatch.estimation.remaining import (
    estimate_remaining_of_mean,
)
from trefoilhinge.dispatch.latency_model import (
    estimate_iteration_s,
    estimate_step_s,
)
from trefoilhinge.dispatch.prefill_queue import Prefill, PrefillQueue

# A run whose end was not reported is removed this long after its latest
# possible end.
END_REPORT_GRACE_S = 3.0
# A plain call whose end was not reported is counted for this long at most.
MAXIMUM_PLAIN_RUN_S = 5.0
# Callers estimate the length of their outputs well at the median only. A run
# past its expected end still has about half of its expected duration ahead,
# as the mean of a log-normal distribution beyond its median shows.
OVERDUE_REMAINING_SHARE = 0.5


@frozen
class RunPart:
    """Work of a run at one target.

    :ivar prefill_s: seconds of prefill for this target's part of the prompt.
    :ivar memory_tokens: KV memory that the part occupies, in tokens.
    :ivar has_slot: whether the call is decoded here; a helper only prefills.
    """

    target: str
    prefill_s: float
    memory_tokens: int
    has_slot: bool


@frozen
class Run:
    """A call that this instance or another one placed on targets.

    :ivar origin: incarnation of the instance that placed it.
    :ivar number: number of the run, unique for its origin.
    :ivar context_tokens: tokens of its prompt.
    :ivar output_tokens: expected number of generated tokens.
    :ivar gap_slo_s: maximum gap between events that meets the objective,
        seconds; zero for a call that is not streamed.
    :ivar started_s: monotonic seconds of its placement.
    :ivar send_delay_s: seconds from its placement until it is sent.
    """

    origin: str
    number: int
    parts: tuple[RunPart, ...]
    context_tokens: int
    output_tokens: int
    gap_slo_s: float
    started_s: float
    send_delay_s: float = 0

    @property
    def key(self) -> tuple[str, int]:
        """Return the key of the run, unique over all instances."""
        return self.origin, self.number


@define
class TargetLoad:
    """Load of one target.

    :ivar prefills: pending prefills.
    :ivar slowdown: factor by which it is slower than its published profile.
    :ivar prefill_factor: learned factor of its prefills, zero if not learned.
    :ivar output_deviation: standard deviation of the logarithm of the outputs
        of its runs, zero if not learned.
    :ivar runs: runs that have a slot, by key.
    :ivar memory_tokens: KV memory in use, in tokens.
    :ivar changes: number of changes of its runs and prefills, by which what
        was computed from them is known to be valid still.
    """

    prefills: PrefillQueue = field(factory=PrefillQueue)
    slowdown: float = 1.0
    prefill_factor: float = 0
    output_deviation: float = 0
    runs: dict[tuple[str, int], Run] = field(factory=dict)
    memory_tokens: int = 0
    changes: int = 0

    @property
    def running(self) -> int:
        """Return the number of runs that have a slot."""
        return len(self.runs)

    @property
    def prefill_slowdown(self) -> float:
        """Return the factor by which its prefills are slower than published.

        A learned factor contains what slows decoding down as well.
        """
        return max(self.slowdown, self.prefill_factor)

    def count_context_tokens(self) -> int:
        """Return the total context of the runs that have a slot."""
        return sum(run.context_tokens for run in self.runs.values())

    def estimate_backlog_s(self, at_s: float) -> float:
        """Return seconds of prefill ahead of a prompt that arrives at a time.

        :param at_s: monotonic seconds, not before the last change.
        """
        return self.prefills.estimate_backlog_s(at_s)

    def estimate_iteration_s(self, engine: EngineProfile) -> float:
        """Return seconds between two events while nothing is prefilled."""
        return self.estimate_nominal_iteration_s(engine) * self.slowdown

    def estimate_nominal_iteration_s(self, engine: EngineProfile) -> float:
        """Return the iteration time of a target without slowdown, seconds."""
        return estimate_iteration_s(
            engine, self.running, self.count_context_tokens()
        )

    def estimate_slot_wait_s(
        self, engine: EngineProfile, now_s: float
    ) -> float:
        """Return expected seconds until a slot is free."""
        excess = self.running + 1 - engine.slots
        if excess <= 0:
            return 0
        step_s = self.slowdown * estimate_step_s(
            engine, self.running, self.count_context_tokens()
        )
        remaining_s = [
            _estimate_remaining_s(run, step_s, now_s, self.output_deviation)
            for run in self.runs.values()
        ]
        mean_s = sum(remaining_s) / len(remaining_s)
        return excess * mean_s / engine.slots


@define
class LoadTable:
    """Loads of all targets.

    :ivar targets: loads by target name.
    """

    targets: dict[str, TargetLoad] = field(factory=dict)
    _runs: dict[tuple[str, int], tuple[Run, float]] = field(factory=dict)
    _by_origin: dict[str, dict[int, Run]] = field(factory=dict)

    def get(self, target: str) -> TargetLoad:
        """Return the load of a target; an unknown target has an empty one."""
        load = self.targets.get(target)
        if load is None:
            load = TargetLoad()
            self.targets[target] = load
        return load

    def record_start(self, run: Run, latest_end_s: float, now_s: float) -> bool:
        """Record that a run was placed.

        A run that is already known is ignored.

        :param latest_end_s: monotonic seconds at which the run has ended,
            even if its end is not reported.
        :return: whether the run was not known.
        """
        if run.key in self._runs:
            return False
        self._runs[run.key] = (run, latest_end_s)
        self._by_origin.setdefault(run.origin, {})[run.number] = run
        for part in run.parts:
            load = self.get(part.target)
            prefill_s = part.prefill_s * load.prefill_slowdown
            prefill = Prefill(
                now_s + run.send_delay_s,
                prefill_s,
                is_grouped=len(run.parts) > 1,
                is_sent=not run.send_delay_s,
            )
            load.prefills.add(run.key, prefill, now_s)
            load.memory_tokens += part.memory_tokens
            load.changes += 1
            if part.has_slot:
                load.runs[run.key] = run
        return True

    def record_sent(self, key: tuple[str, int], now_s: float) -> Run | None:
        """Record that a delayed run was sent; return it if it is known."""
        found = self._runs.get(key)
        for part in found[0].parts if found else ():
            load = self.get(part.target)
            load.prefills.record_sent(key, now_s)
            load.changes += 1
        return found[0] if found else None

    def find_send_time_s(self, run: Run, now_s: float) -> float:
        """Return the time until which a run waits before it is sent.

        By then the group prefills ahead of it at its targets have expired.
        The run waits shorter if they are reported complete before.

        :return: monotonic seconds; ``now_s`` if the run may be sent at once.
        """
        return max(
            self.get(part.target).prefills.find_send_time_s(run.key, now_s)
            for part in run.parts
        )

    def record_end(self, key: tuple[str, int], now_s: float) -> Run | None:
        """Record that a run ended; return it if it was known."""
        found = self._runs.pop(key, None)
        if found is None:
            return None
        run = found[0]
        own = self._by_origin[run.origin]
        own.pop(run.number)
        if not own:
            self._by_origin.pop(run.origin)
        for part in run.parts:
            load = self.get(part.target)
            load.memory_tokens -= part.memory_tokens
            load.changes += 1
            load.runs.pop(key, None)
            load.prefills.remove(key, now_s)
        return run

    def record_first_event(self, key: tuple[str, int], now_s: float) -> None:
        """Record a run's first event, which shows that its prefill is done."""
        found = self._runs.get(key)
        if found is None:
            return
        for part in found[0].parts:
            load = self.get(part.target)
            load.prefills.remove(key, now_s)
            load.changes += 1

    def remove_origin(self, origin: str, now_s: float) -> int:
        """Remove the runs of an instance that has failed; return how many."""
        return self._remove(
            [run.key for run in self.list_by_origin(origin)], now_s
        )

    def remove_overdue(self, now_s: float) -> int:
        """Remove runs whose end was not reported; return how many."""
        overdue = [
            key
            for key, (_, latest_s) in self._runs.items()
            if now_s > latest_s + END_REPORT_GRACE_S
        ]
        return self._remove(overdue, now_s)

    def list_by_origin(self, origin: str) -> list[Run]:
        """Return the runs of one origin."""
        return list(self._by_origin.get(origin, {}).values())

    def _remove(self, keys: Iterable[tuple[str, int]], now_s: float) -> int:
        removed = list(keys)
        for key in removed:
            self.record_end(key, now_s)
        return len(removed)


def estimate_run_end_s(run: Run, step_s: float) -> float:
    """Return monotonic seconds at which a run is expected to end.

    :param step_s: seconds of a step at its target.
    """
    prefill_s = sum(part.prefill_s for part in run.parts if part.has_slot)
    decode_s = run.output_tokens * step_s
    return run.started_s + run.send_delay_s + prefill_s + decode_s


def _estimate_remaining_s(
    run: Run, step_s: float, now_s: float, output_deviation: float
) -> float:
    """Return the expected seconds until a run ends.

    :param step_s: seconds of a step at its target.
    :param output_deviation: as of ``TargetLoad``.
    """
    if output_deviation:
        decode_s = run.output_tokens * step_s
        begin_s = estimate_run_end_s(run, step_s) - decode_s
        return max(0, begin_s - now_s) + estimate_remaining_of_mean(
            decode_s, output_deviation, now_s - begin_s
        )
    overdue_s = OVERDUE_REMAINING_SHARE * run.output_tokens * step_s
    return max(estimate_run_end_s(run, step_s) - now_s, overdue_s)
