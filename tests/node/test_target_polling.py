from trefoilhinge.core.clocks import Instant
from trefoilhinge.membership.interfaces import TargetView
from trefoilhinge.node.target_polling import MAXIMUM_READS_PER_S, TargetPoller


def make_targets(count):
    return tuple(
        TargetView(f't{number}', '127.0.0.1:1', 'd', 's')
        for number in range(count)
    )


def poll(poller, seconds, step_s=0.1):
    reads = []
    for number in range(int(seconds / step_s)):
        now_s = number * step_s
        reads += [
            (one.name, now_s) for one in poller.take_due(Instant(now_s, 0))
        ]
    return reads


class TestTargetPoller:
    def test_few_targets_are_read_at_the_interval(self):
        poller = TargetPoller(0.5)
        poller.replace_targets(make_targets(25))
        reads = poll(poller, 10)
        assert 19 <= sum(name == 't0' for name, _ in reads) <= 20

    def test_many_targets_share_the_highest_rate_evenly(self):
        poller = TargetPoller(0.5)
        poller.replace_targets(make_targets(4000))
        reads = poll(poller, 100)
        assert len(reads) <= 100 * MAXIMUM_READS_PER_S + 64
        assert len({name for name, _ in reads}) == 4000

    def test_removed_target_is_no_longer_read(self):
        poller = TargetPoller(0.5)
        poller.replace_targets(make_targets(3))
        poll(poller, 1)
        poller.replace_targets(make_targets(1))
        now = Instant(100, 0)
        assert {one.name for one in poller.take_due(now)} == {'t0'}

    def test_readded_target_is_read_once_per_round(self):
        poller = TargetPoller(0.5)
        poller.replace_targets(make_targets(2))
        poller.replace_targets(make_targets(1))
        poller.replace_targets(make_targets(2))
        names = [one.name for one in poller.take_due(Instant(1, 0))]
        assert sorted(names) == ['t0', 't1']
