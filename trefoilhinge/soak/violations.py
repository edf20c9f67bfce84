"""Violations of the invariants that a soak checks."""

from attrs import frozen


@frozen
class Violation:
    """Violation of an invariant by one call or reservation.

    The invariants are:

    - ``TWICE``: a call that is not idempotent ran more than once.
    - ``FALSE_REFUSAL``: a call ran, but its status says that it did not.
    - ``WRONG_ANSWER``: a complete answer is not the correct one, or an
      incomplete answer is not the beginning of the correct one.
    - ``LATE``: the call ended later than ``DEADLINE_TOLERANCE_S`` after its
      deadline.
    - ``CUT_AT_STOP``: a planned stop truncated the answer, or left the call
      without one; ``stop_checks`` says which long calls do not count.
    - ``REVOKED``: a call ran that was sent later than ``CHANGE_PROPAGATION_S``
      after its API key had been revoked.
    - ``LEAVING``: a target started to work on a call later than
      ``CHANGE_PROPAGATION_S`` after it was leaving.
    - ``MEMORY``: a reservation was held after its call.
    - ``CROWD``: a process took more than its memory after clients that do not
      behave had connected.
    - ``START``: an instance that started during an outage of the store, beside
      others that were ready, was not ready within six seconds.
    - ``SHARED``: two calls used one reservation, so that the end of the one
      releases the memory of the other.
    - ``LIMIT``: a target got more requests than the limit that it had named
      allows, from all instances together, with no instance killed or paused
      meanwhile or shortly before.
    - ``CRASH``: requests that crash targets reached more than
      ``CRASH_ALLOWED`` of them, later than ``CRASH_STABLE_S`` after they had
      crashed ``PART_CRASHES`` or ``REQUEST_CRASHES``. Those do not count that
      arrived while an instance was killed or paused, or shortly after.
    - ``COLD``: a cold target got more requests in a second than all instances
      together may send it.
    - ``EVACUATED``: a call began to run at a target of an evacuated failure
      domain, or memory was reserved there, later than the bound allows.
    - ``SWITCH``: more than ``MAXIMUM_LATE_SHARE`` of the short prompts had no
      first event in time, from ``SETTLE_S`` after a switch of the load to them.
    - ``GAIN``: callers that sent three requests at once after each refusal were
      served more than ``MAXIMUM_GAIN`` times as often as others.
    - ``UNUSED``: an instance did not use a live, reachable target from
      ``RETURN_S`` after its entry, which had expired, was written again,
      although all others of the service refused its calls. Returns are recorded
      only where no fault or event disturbs them.

    ``LATE``, ``CUT_AT_STOP``, ``REVOKED`` and ``LEAVING`` are not checked for
    periods that a fault overlaps or that begin within ``RECOVERY_S`` after one.

    :ivar request_id: ID of the call or of the reservation.
    """

    invariant: str
    request_id: str
    detail: str
