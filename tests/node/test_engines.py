import json
import pathlib

from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.effects import ReadEngineState, ReadLoad
from trefoilhinge.core.events import (
    DocumentRead,
    InstancesListed,
    TimerFired,
)
from trefoilhinge.core.identifiers import InstanceIdentity
from trefoilhinge.core.reports import ListedTarget
from trefoilhinge.node.composition import make_node, make_parts

KANDY = pathlib.Path(__file__).parents[2] / 'examples' / 'kandy.json'


class TestEngines:
    def test_engines_listed_before_the_document_are_read(self):
        document = json.loads(KANDY.read_text())
        listed = tuple(
            ListedTarget(
                one['name'],
                one['address'],
                one['failure_domain'],
                service['name'],
            )
            for service in document['services']
            for one in service['targets']
        )
        identity = InstanceIdentity('entry-0', 1)
        parts = make_parts(identity, 'a:1', 'kandy', 's' * 32, (), 1, 'life')
        core = make_node(parts, 0, 0)
        core.handle(InstancesListed((), listed), Instant(1, 1))
        core.handle(DocumentRead(json.dumps(document)), Instant(1, 1))
        effects = []
        for tenth in range(100):
            now = Instant(1 + tenth / 10, 1 + tenth / 10)
            effects += core.handle(TimerFired(), now)
        for kind in (ReadLoad, ReadEngineState):
            read = {one.target for one in effects if isinstance(one, kind)}
            assert read == {f'writer-{number}' for number in range(25)}
