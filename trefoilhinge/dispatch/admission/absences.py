"""Waiting calls that do not take the capacity that they are allotted."""

from collections.abc import Collection

from attrs import define, field

from trefoilhinge.dispatch.admission.waiting_calls import WaitingKey

# An instance takes what its call is allotted within a pass and a message, or
# later if it has little processor time. After this time it has failed, or it
# cannot reach the target, and others take it.
TAKE_LIMIT_S = 0.08
# Calls are taken for absent for this long before they are given another chance.
ABSENCE_S = 1.0


@define
class AbsenceWatch:
    """Times since which calls have been allotted capacity in vain."""

    _since_s: dict[WaitingKey, float] = field(factory=dict)

    @property
    def is_watching(self) -> bool:
        """Return whether calls were allotted capacity that they may take."""
        return bool(self._since_s)

    def list_absent(self, now_s: float) -> set[WaitingKey]:
        """Return the calls that are not expected to take what they get."""
        return {
            key
            for key, since_s in self._since_s.items()
            if now_s - since_s > TAKE_LIMIT_S
        }

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
