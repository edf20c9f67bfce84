"""Ends of runs, as they change the load and the free capacity of targets."""

from trefoilhinge.dispatch.admission.codec import RunsAlive
from trefoilhinge.gateway.state import GatewayState


def end_run(state: GatewayState, key: tuple[str, int]) -> None:
    """Record that a run of this or another instance ended."""
    now_s = state.get_now_s()
    run = state.loads.record_end(key, now_s)
    state.prefill_waiters.notify_all()
    if run is None or not run.parts:
        return
    record = state.directory.records.get(run.parts[0].target)
    if record is not None:
        state.admission.record_end(run, record.service, now_s)


def remove_runs(state: GatewayState, origin: str) -> int:
    """Remove the runs of an instance that has ended; return how many."""
    removed = state.loads.remove_origin(origin, state.get_now_s())
    state.admission.remove_origin(origin)
    return removed


def make_alive_message(state: GatewayState) -> RunsAlive:
    """Return the report of this instance's runs that have not ended."""
    runs = state.loads.list_by_origin(state.origin)
    numbers = tuple(run.number for run in runs)
    return RunsAlive(state.origin, state.last_run_number, numbers)


def end_missed_runs(state: GatewayState, message: RunsAlive) -> None:
    """End the runs of another instance whose ends were not heard of."""
    alive = set(message.numbers)
    for run in state.loads.list_by_origin(message.origin):
        if run.number <= message.latest and run.number not in alive:
            state.metrics.increment('run_ends_missed')
            end_run(state, run.key)
