from concurrent.futures import ThreadPoolExecutor

import pytest

from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.effects import SendOrder
from trefoilhinge.core.events import OrderAnswered
from trefoilhinge.entry.effect_handler import EffectHandler


class FakeEngineClient:
    """Client of all engines that accepts every order."""

    def __init__(self):
        self.orders = []

    def __getattr__(self, name):
        return None

    def send_order(self, order):
        self.orders.append(order)
        return OrderAnswered(order.target, order.fence, accepted=True)


class StoppedClock:
    def __init__(self, now):
        self.now = now

    def read(self):
        return self.now


class TestOrders:
    @pytest.mark.parametrize(
        ('now', 'sent'),
        [
            (Instant(11.9, 101.9), True),
            (Instant(12, 101), False),
            (Instant(11, 102), False),
        ],
    )
    def test_order_is_sent_only_within_its_lease(self, now, sent):
        engine_client = FakeEngineClient()
        reported = []
        with ThreadPoolExecutor(1) as executor:
            effect_handler = EffectHandler(
                engine_client,
                engine_client,
                engine_client,
                None,
                None,
                executor,
                reported.append,
                None,
                None,
                StoppedClock(now),
            )
            order = SendOrder(
                'w0',
                'w0:1',
                7,
                1,
                'open-large',
                'v1',
                (),
                'both',
                Instant(12, 102),
            )
            effect_handler.handle(order)
        assert bool(engine_client.orders) is sent
        assert reported == [OrderAnswered('w0', 7, accepted=sent)]
