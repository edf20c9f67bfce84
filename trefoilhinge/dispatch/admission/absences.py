"""Waiting calls that do not take the capacity that they are allotted."""

from collections.abc import Collection, Iterable

from attrs import define, field

from trefoilhinge.dispatch.admission.waiting import WaitingCall, WaitingKey

# An instance takes what its call is allotted within a few messages. After this
# time it has failed, or it cannot reach the target, and others take it.
TAKE_LIMIT_S = 0.05
# Calls are taken for absent for this long before they are given another chance.
ABSENCE_S = 1.0


@define
class AbsenceWatch:
    """Times since which calls have been allotted capacity in vain."""

    _since_s: dict[WaitingKey, float] = field(factory=dict)

    def select_present(
        self, calls: Iterable[WaitingCall], now_s: float
    ) -> list[WaitingCall]:
        """Return the calls that may be expected to take what they get."""
        return [
            call
            for call in calls
            if now_s - self._since_s.get(call.key, now_s) <= TAKE_LIMIT_S
        ]

    def record(self, allotted: Collection[WaitingKey], now_s: float) -> None:
        """Record which calls can be placed now."""
        for key, since_s in tuple(self._since_s.items()):
            waited_s = now_s - since_s
            is_absent = TAKE_LIMIT_S < waited_s <= ABSENCE_S
            if key not in allotted and not is_absent:
                self._since_s.pop(key)
            elif waited_s > ABSENCE_S:
                self._since_s.pop(key)
        for key in allotted:
            self._since_s.setdefault(key, now_s)
