"""Tests of which targets a node reads."""

import json

from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.effects import ReadEngineState, ReadLoad
from trefoilhinge.core.events import DocumentRead, InstancesListed, TimerFired
from trefoilhinge.core.identifiers import (
    InstanceIdentity,
    InstanceName,
)
from trefoilhinge.faults.world import (
    ENGINES,
    describe_document,
    make_fault_world,
)
from trefoilhinge.node.composition import make_node, make_parts

NOW = Instant(10, 1_000)


class TestEngines:
    """Engines are read however their names came."""

    def test_listed_before_the_document(self):
        """Targets that the list named first are read once it is known."""
        identity = InstanceIdentity(InstanceName('entry-0'), 1)
        parts = make_parts(identity, 'a:1', 'kandy', 'secret' * 6, (), 1)
        node = make_node(parts, 0, 0)
        listed = make_fault_world(0).world.platform.targets
        node.handle(InstancesListed((), listed), NOW)
        node.handle(DocumentRead(json.dumps(describe_document(1))), NOW)
        effects = node.handle(TimerFired(), NOW)
        for kind in (ReadLoad, ReadEngineState):
            read = {one.target for one in effects if isinstance(one, kind)}
            assert read == set(ENGINES)
