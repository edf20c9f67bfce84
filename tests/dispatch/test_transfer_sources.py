"""Tests of the choice of the peer that newer state is fetched from."""

from attrs import define, field

from trefoilhinge.dispatch.transfer_sources import SourceTable
from trefoilhinge.gateway.peer_fetcher import BUSY_RETRY_S
from trefoilhinge.gateway.replication import MAXIMUM_TRANSFERS

TICK_S = 0.01
LINK_BYTES_PER_S = 1_250_000  # 10 Mbit/s
DOCUMENT_BYTES = 394_000  # 2,000 routes


@define
class Link:
    """The outgoing link of an instance, shared evenly by its transfers.

    :ivar transfers: bytes that each receiver still waits for.
    """

    transfers: dict[str, float] = field(factory=dict)

    def advance(self) -> list[str]:
        """Send for one tick; return the receivers that have everything."""
        share = LINK_BYTES_PER_S * TICK_S / max(1, len(self.transfers))
        for ip in self.transfers:
            self.transfers[ip] -= share
        done = [ip for ip, left in self.transfers.items() if left <= 0]
        for ip in done:
            self.transfers.pop(ip)
        return done


def spread_document(holders, receivers):
    """Return seconds until all receivers have the document of the holders."""
    versions = dict.fromkeys(holders, 2)
    links = {ip: Link() for ip in (*holders, *receivers)}
    tables = {ip: SourceTable(ip) for ip in receivers}
    waiting = set(receivers)
    now_s = 0.0
    while len(versions) < len(links):
        for ip in sorted(waiting):
            source = tables[ip].choose(versions, now_s)
            if source is None:
                continue
            if len(links[source].transfers) < MAXIMUM_TRANSFERS:
                links[source].transfers[ip] = DOCUMENT_BYTES
                waiting.discard(ip)
            else:
                tables[ip].avoid(source, now_s + BUSY_RETRY_S)
        now_s += TICK_S
        for link in links.values():
            versions.update(dict.fromkeys(link.advance(), 2))
    return now_s


def make_ips(count, domain):
    """Return IP addresses of a failure domain."""
    return [f'10.{domain}.0.{number}' for number in range(1, count + 1)]


class TestSourceTable:
    def test_peer_with_the_newest_state_is_chosen(self):
        table = SourceTable('10.1.0.1')
        assert table.choose({'10.1.0.2': 4, '10.1.0.3': 5}, 0) == '10.1.0.3'

    def test_avoided_peer_is_chosen_again_after_its_time(self):
        table = SourceTable('10.1.0.1')
        table.avoid('10.1.0.2', 3)
        assert table.choose({'10.1.0.2': 4}, 2) is None
        assert table.choose({'10.1.0.2': 4}, 3) == '10.1.0.2'

    def test_instances_ask_different_peers(self):
        offers = dict.fromkeys(make_ips(26, 2), 7)
        chosen = {SourceTable(ip).choose(offers, 0) for ip in make_ips(35, 1)}
        assert len(chosen) > 13

    def test_large_document_reaches_instances_cut_off_from_the_store(self):
        """Guards against one saturated link that delays a document.

        In an incident 35 instances fetched a large document from the one that
        announced it first, and none had it after 6 s.
        """
        assert spread_document(make_ips(39, 2), make_ips(22, 1)) < 1.5

    def test_large_document_spreads_from_a_single_instance(self):
        assert spread_document(make_ips(1, 2), make_ips(21, 1)) < 3
