"""Encoding of the messages about crashes, as lists of fields."""

from trefoilhinge.dispatch.crash_evidence import CrashReport
from trefoilhinge.dispatch.message_checks import (
    MAXIMUM_DURATION_S,
    check_range,
)
from trefoilhinge.dispatch.messages import (
    QuarantineMessage,
    TargetCrashed,
    TraitQuarantined,
    TraitsCleared,
)

QUARANTINE_KINDS = frozenset('cyz')
MAXIMUM_TRAITS = 24  # of one message, so that it fits a packet
MAXIMUM_TRAIT_LENGTH = 48


def list_quarantine_fields(message: QuarantineMessage) -> list[object]:
    """Return the fields of a message, the first one its kind."""
    match message:
        case TargetCrashed(report, now_s):
            return [
                'c',
                report.target,
                report.started_ms,
                report.organisation,
                list(report.traits),
                _limit(now_s - report.sent_s),
                _limit(now_s - report.crashed_s),
            ]
        case TraitQuarantined(trait, crashes, crashed_age_s, probes):
            return ['z', trait, crashes, _limit(crashed_age_s), probes]
        case TraitsCleared(traits, age_s):
            return ['y', list(traits), _limit(age_s)]


def decode_quarantine_message(
    fields: object, now_s: float
) -> QuarantineMessage:
    """Decode the fields of a message.

    :param now_s: monotonic seconds of arrival, from which ages count.
    :raises ValueError: the fields are of unexpected number, type or value.
    """
    match fields:
        case [
            'c',
            str(target),
            int(started_ms),
            str(organisation),
            list(traits),
            int() | float() as sent_age_s,
            int() | float() as crashed_age_s,
        ]:
            report = CrashReport(
                target,
                started_ms,
                organisation,
                _check_traits(traits),
                now_s - check_range(sent_age_s),
                now_s - check_range(crashed_age_s),
            )
            return TargetCrashed(report, now_s)
        case [
            'z',
            str(trait),
            int(crashes),
            int() | float() as crashed_age_s,
            int(probes),
        ]:
            return TraitQuarantined(
                _check_traits([trait])[0],
                crashes,
                check_range(crashed_age_s),
                probes,
            )
        case ['y', list(traits), int() | float() as age_s]:
            return TraitsCleared(_check_traits(traits), check_range(age_s))
    raise ValueError('message about crashes with unexpected fields')


def _check_traits(traits: list[object]) -> tuple[str, ...]:
    """Return traits if their number and lengths are within bounds.

    :raises ValueError: they are not.
    """
    if len(traits) > MAXIMUM_TRAITS:
        raise ValueError(f'{len(traits)} traits, over {MAXIMUM_TRAITS}')
    checked = []
    for trait in traits:
        if not isinstance(trait, str) or len(trait) > MAXIMUM_TRAIT_LENGTH:
            raise ValueError(f'no trait: {str(trait)[:MAXIMUM_TRAIT_LENGTH]!r}')
        checked.append(trait)
    return tuple(checked)


def _limit(duration_s: float) -> float:
    return max(0, min(duration_s, MAXIMUM_DURATION_S))
