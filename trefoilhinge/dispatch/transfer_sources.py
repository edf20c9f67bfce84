"""Choice of the peer that newer state is fetched from."""

from collections.abc import Mapping
from typing import Any

import xxhash
from attrs import define, field


@define
class SourceTable:
    """Order in which an instance asks its peers for newer state.

    Each instance ranks the peers differently. If all asked the peer that
    announced the state first, they would share the bandwidth of its link.
    """

    own_ip: str
    _avoided_until_s: dict[str, float] = field(factory=dict)

    def choose(self, offers: Mapping[str, Any], now_s: float) -> str | None:
        """Return the peer to ask, none if all are avoided for now.

        :param offers: version of the state at each peer, by IP address.
        """
        self._avoided_until_s = {
            ip: until_s
            for ip, until_s in self._avoided_until_s.items()
            if until_s > now_s
        }
        return max(
            (ip for ip in offers if ip not in self._avoided_until_s),
            key=lambda ip: (offers[ip], self._rank(ip)),
            default=None,
        )

    def avoid(self, ip: str, until_s: float) -> None:
        """Do not choose a peer before a time, in monotonic seconds."""
        self._avoided_until_s[ip] = until_s

    def _rank(self, ip: str) -> int:
        return int(xxhash.xxh32_intdigest(f'{self.own_ip} {ip}'.encode()))
