"""Times for which an idle connection may be used again."""

import re

DEFAULT_IDLE_S = 3.0  # common servers close after 5 s and do not say so
MAXIMUM_IDLE_S = 30.0  # an unused connection occupies memory at both ends
# The target may close earlier by its clock, and its close has to arrive.
IDLE_MARGIN_S = 1.0
_TIMEOUT_PATTERN = re.compile(rb'(?:^|[,;\s])timeout\s*=\s*"?(\d{1,9})', re.I)


def compute_idle_s(keep_alive: bytes | None) -> float:
    """Return seconds for which a connection may be idle before its next use.

    :param keep_alive: value of the ``Keep-Alive`` header of the response
        (RFC 2068, section 19.7.1.1); none if there is no such header.
    :return: less than the idle timeout of the target; zero if that is too
        short for the connection to be kept.
    """
    found = _TIMEOUT_PATTERN.search(keep_alive or b'')
    if found is None:
        return DEFAULT_IDLE_S
    return min(max(0, int(found[1]) - IDLE_MARGIN_S), MAXIMUM_IDLE_S)
