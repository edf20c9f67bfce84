"""Test harness: nodes with the default cores, driven by events."""

import json
import pathlib

from tests.retries.calls import at, make_call
from trefoilhinge.core.effects import AnswerPeer, SendPeerMessage
from trefoilhinge.core.events import (
    CallReceived,
    DocumentRead,
    PeerAnswered,
    PeerMessageReceived,
    TimerFired,
)
from trefoilhinge.core.identifiers import InstanceIdentity, InstanceName
from trefoilhinge.node.composition import make_node, make_parts

ORGANISATION = 'hotel-desk'
EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'


def write_document(revision=1, name='kandy', **changes):
    fields = json.loads((EXAMPLES / f'{name}.json').read_text())
    return json.dumps({**fields, 'revision': revision, **changes})


def find(effects, kind):
    return [one for one in effects if isinstance(one, kind)]


class Node:
    """One node and the effects that it has returned."""

    def __init__(self, name='a', document=None, seeds=(), seed=1, start_s=0):
        identity = InstanceIdentity(InstanceName(name), 100 + seed)
        self.address = f'10.0.0.1:{ord(name[0])}{name[1:]}'
        parts = make_parts(
            identity,
            self.address,
            'kandy',
            'secret',
            seeds,
            seed,
        )
        self.name = name
        self.core = make_node(parts, 2.0, 3.0, seed)
        self.elapsed_s = start_s
        self.effects = []
        if document is not None:
            self.handle(TimerFired())
            self.handle(DocumentRead(document))

    def handle(self, event, wall_shift_s=0.0):
        now = at(self.elapsed_s, wall_shift_s)
        effects = self.core.handle(event, now)
        self.effects.extend(effects)
        return effects

    def run(self, seconds, step_s=0.1):
        effects = []
        for _ in range(round(seconds / step_s)):
            self.elapsed_s += step_s
            effects.extend(self.handle(TimerFired()))
        return effects

    def call(self, **options):
        profile = make_call(**{'organisation': ORGANISATION, **options})
        return self.handle(CallReceived(profile))


class FakeNetwork:
    """Delivers messages at once, except to and from partitioned nodes."""

    def __init__(self, *nodes):
        self.nodes = {one.address: one for one in nodes}
        self.partitioned = set()
        self.texts = []

    def transmit(self, sender, effects, depth=0):
        for message in find(effects, SendPeerMessage):
            self.texts.append(message.text)
            reply = self.deliver(sender, message, depth)
            after = sender.handle(PeerAnswered(message.peer, reply))
            self.transmit(sender, after, depth + 1)

    def deliver(self, sender, message, depth):
        receiver = self.nodes.get(message.address)
        names = {sender.name, receiver.name} if receiver else set()
        if receiver is None or names & self.partitioned:
            return None
        effects = receiver.handle(PeerMessageReceived('t', message.text))
        self.transmit(receiver, effects, depth + 1)
        reply = find(effects, AnswerPeer)[0].text
        self.texts.append(reply)
        return reply

    def run(self, seconds, step_s=0.1):
        for _ in range(round(seconds / step_s)):
            for node in self.nodes.values():
                self.transmit(node, node.run(step_s, step_s))
