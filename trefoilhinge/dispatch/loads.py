"""Work at each target, as all instances told it."""

from collections.abc import Iterable

from attrs import define, field, frozen

from trefoilhinge.dispatch.documents import EngineProfile
from trefoilhinge.dispatch.latency_model import (
    estimate_iteration_s,
    estimate_step_s,
)
from trefoilhinge.dispatch.prefill_queue import Prefill, PrefillQueue

END_REPORT_GRACE_S = (
    3.0  # a run is forgotten this long after its latest possible end
)
MAXIMUM_PLAIN_RUN_S = (
    5.0  # longest time that a plain call is counted without its end
)


@frozen
class RunPart:
    """What a run takes of one target.

    :ivar reading_s: seconds in which the target reads its part.
    :ivar memory_tokens: tokens that it stores.
    :ivar has_place: whether the call runs here, and not only a part is read.
    """

    target: str
    prefill_s: float
    memory_tokens: int
    has_slot: bool


@frozen
class Run:
    """One call that was sent to targets, by this instance or another.

    :ivar origin: instance that sent it.
    :ivar answer_tokens: tokens that it is expected to write.
    :ivar pause_aim_s: longest pause on time; zero for a plain call.
    :ivar waits_s: seconds from its placement until it is sent.
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
        """Return what the run is known by."""
        return self.origin, self.number


@define
class TargetLoad:
    """Work at one target.

    :ivar readings: prompts that it reads.
    :ivar slowdown: how many times slower than published the target was seen.
    """

    prefills: PrefillQueue = field(factory=PrefillQueue)
    slowdown: float = 1.0
    runs: dict[tuple[str, int], Run] = field(factory=dict)
    memory_tokens: int = 0

    @property
    def running(self) -> int:
        """Return the calls that have a place."""
        return len(self.runs)

    def count_context_tokens(self) -> int:
        """Return the tokens of context of all calls that run here."""
        return sum(run.context_tokens for run in self.runs.values())

    def estimate_backlog_s(self, at_s: float) -> float:
        """Return seconds that a prompt waits that comes at a time."""
        return self.prefills.estimate_backlog_s(at_s)

    def estimate_iteration_s(self, figures: EngineProfile) -> float:
        """Return seconds between two events while nothing is read."""
        return self.estimate_nominal_iteration_s(figures) * self.slowdown

    def estimate_nominal_iteration_s(self, figures: EngineProfile) -> float:
        """Return the same for a target that is as fast as published."""
        return estimate_iteration_s(
            figures, self.running, self.count_context_tokens()
        )

    def estimate_slot_wait_s(
        self, figures: EngineProfile, now_s: float
    ) -> float:
        """Return seconds until a place is expected to be free."""
        over = self.running + 1 - figures.slots
        if over <= 0:
            return 0
        step_s = estimate_step_s(
            figures, self.running, self.count_context_tokens()
        )
        ends = sorted(
            estimate_run_end_s(run, step_s * self.slowdown)
            for run in self.runs.values()
        )
        position = min(over, len(ends)) - 1
        return (
            max(step_s * figures.steps_per_iteration, ends[position] - now_s)
            * over
        )


@define
class LoadTable:
    """Loads of all targets, by name."""

    targets: dict[str, TargetLoad] = field(factory=dict)
    _runs: dict[tuple[str, int], tuple[Run, float]] = field(factory=dict)

    def get(self, target: str) -> TargetLoad:
        """Return the load of a target."""
        load = self.targets.get(target)
        if load is None:
            load = TargetLoad()
            self.targets[target] = load
        return load

    def record_start(self, run: Run, latest_end_s: float, now_s: float) -> None:
        """Take that a run was sent.

        :param latest_end_s: monotonic seconds at which it has ended whether
            or not that is told.
        """
        if run.key in self._runs:
            return
        self._runs[run.key] = (run, latest_end_s)
        for part in run.parts:
            load = self.get(part.target)
            prefill_s = part.prefill_s * load.slowdown
            reading = Prefill(
                now_s + run.send_delay_s,
                prefill_s,
                is_grouped=len(run.parts) > 1,
                is_sent=not run.send_delay_s,
            )
            load.prefills.add(run.key, reading, now_s)
            load.memory_tokens += part.memory_tokens
            if part.has_slot:
                load.runs[run.key] = run

    def record_sent(self, key: tuple[str, int], now_s: float) -> None:
        """Take that a run which waited was sent."""
        found = self._runs.get(key)
        for part in found[0].parts if found else ():
            self.get(part.target).prefills.record_sent(key, now_s)

    def find_send_time_s(self, run: Run, now_s: float) -> float:
        """Return when a run's targets have read what is ahead of it.

        :return: monotonic seconds, at the latest; not after the present if
            the run may be sent.
        """
        return max(
            self.get(part.target).prefills.find_send_time_s(run.key, now_s)
            for part in run.parts
        )

    def record_end(self, key: tuple[str, int], now_s: float) -> None:
        """Take that a run ended; a run that is unknown changes nothing."""
        found = self._runs.pop(key, None)
        if found is None:
            return
        run = found[0]
        for part in run.parts:
            load = self.get(part.target)
            load.memory_tokens -= part.memory_tokens
            load.runs.pop(key, None)
            load.prefills.remove(key, now_s)

    def record_first_event(self, key: tuple[str, int], now_s: float) -> None:
        """Take that a run began to write: its target read all it had."""
        found = self._runs.get(key)
        if found is None:
            return
        for part in found[0].parts:
            self.get(part.target).prefills.remove(key, now_s)

    def remove_origin(self, origin: str, now_s: float) -> int:
        """Drop the runs of an instance that is gone; return how many."""
        return self._drop(
            [key for key in self._runs if key[0] == origin],
            now_s,
        )

    def remove_overdue(self, now_s: float) -> int:
        """Drop runs whose end was never told; return how many."""
        overdue = [
            key
            for key, (_, latest_s) in self._runs.items()
            if now_s > latest_s + END_REPORT_GRACE_S
        ]
        return self._drop(overdue, now_s)

    def list_by_origin(self, origin: str) -> list[Run]:
        """Return the runs of one instance."""
        return [run for key, (run, _) in self._runs.items() if key[0] == origin]

    def _drop(self, keys: Iterable[tuple[str, int]], now_s: float) -> int:
        dropped = list(keys)
        for key in dropped:
            self.record_end(key, now_s)
        return len(dropped)


def estimate_run_end_s(run: Run, step_s: float) -> float:
    """Return monotonic seconds at which a run is expected to end.

    :param step_s: seconds of a step of its target.
    """
    prefill_s = sum(part.prefill_s for part in run.parts if part.has_slot)
    writing_s = run.output_tokens * step_s
    return run.started_s + run.send_delay_s + prefill_s + writing_s
