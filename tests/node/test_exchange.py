import json

from tests.node.nodes import FakeNetwork, Node, find, write_document
from tests.retries.calls import at, make_call
from trefoilhinge.conf.messages import encode_exchange
from trefoilhinge.core.effects import (
    AnswerKey,
    AnswerPeer,
    Dispatch,
    LogEvent,
    ReadDocument,
    RefuseCall,
    SendPeerMessage,
    StopProcess,
)
from trefoilhinge.core.events import (
    AttemptEnded,
    AttemptOutcome,
    CallReceived,
    DocumentRead,
    InstancesListed,
    KeyRequested,
    LoadRead,
    PeerAnswered,
    PeerMessageReceived,
    StopRequested,
    TimerFired,
)
from trefoilhinge.core.identifiers import AttemptId
from trefoilhinge.core.reports import ListedInstance, ListedTarget, LoadReport
from trefoilhinge.core.verdicts import RefusalCode, Verdict


def make_fleet(count, document=None):
    """Return nodes that each have the previous one as their only seed."""
    nodes = []
    for number in range(count):
        seeds = (nodes[-1].address,) if nodes else ()
        name = f'{chr(97 + number % 26)}{number // 26}'
        nodes.append(Node(name, document, seeds, seed=number + 1))
    return nodes, FakeNetwork(*nodes)


def count_revisions(nodes):
    return [one.core.parts.document_replica.revision for one in nodes]


class TestDocuments:
    def test_fleet_with_one_seed_each_converges(self):
        nodes, network = make_fleet(6, write_document(1))
        network.run(5)
        nodes[0].handle(DocumentRead(write_document(7)))
        network.run(1)
        assert count_revisions(nodes) == [7] * 6

    def test_change_is_sent_at_once(self):
        nodes, network = make_fleet(4, write_document(1))
        network.run(5)
        network.transmit(
            nodes[2], nodes[2].handle(DocumentRead(write_document(2)))
        )
        assert count_revisions(nodes) == [2] * 4

    def test_start_with_a_stale_service_catches_up_before_ready(self):
        nodes, network = make_fleet(2, write_document(9))
        network.run(3)
        late = Node(
            'z',
            write_document(3),
            (nodes[0].address,),
            seed=9,
            start_s=nodes[0].elapsed_s,
        )
        network.nodes[late.address] = late
        network.run(1.5)
        assert not late.core.ready
        assert late.core.parts.document_replica.revision == 9
        network.run(1.5)
        assert late.core.ready

    def test_start_with_an_unavailable_service_catches_up(self):
        nodes, network = make_fleet(2, write_document(9))
        late = Node('z', None, (nodes[0].address,), seed=9)
        network.nodes[late.address] = late
        late.handle(TimerFired())
        late.handle(DocumentRead(None))
        network.run(3)
        assert late.core.parts.document_replica.revision == 9
        assert late.core.ready

    def test_older_document_is_never_accepted(self):
        nodes, network = make_fleet(2, write_document(5))
        nodes[0].handle(DocumentRead(write_document(4)))
        network.run(3)
        assert count_revisions(nodes) == [5, 5]

    def test_conflicting_documents_of_one_revision_converge_and_are_logged(
        self,
    ):
        nodes, network = make_fleet(3, write_document(1))
        network.run(3)
        texts = [write_document(2, deployment=name) for name in ('x', 'y')]
        nodes[0].handle(DocumentRead(texts[0]))
        nodes[1].handle(DocumentRead(texts[1]))
        network.run(3)
        digests = {one.core.parts.document_replica.digest for one in nodes}
        assert len(digests) == 1
        logs = [e.name for n in nodes for e in find(n.effects, LogEvent)]
        assert 'document_clash' in logs

    def test_invalid_newer_document_does_not_block(self):
        nodes, network = make_fleet(2, write_document(1))
        network.run(2)
        nodes[0].handle(DocumentRead(write_document(8, organisations=[])))
        nodes[0].handle(DocumentRead(write_document(2)))
        network.run(2)
        assert count_revisions(nodes) == [2, 2]

    def send_as_outdated_peer(self, node, seconds, **fields):
        """Return how often a peer that stays outdated is sent the document."""
        documents = 0
        for number in range(seconds):
            fields_sent = {
                'sender': 'old',
                'incarnation': 1,
                'sequence': number,
                'address': '10.9.9.9:1',
                'revision': 1,
                'digest': '',
                **fields,
            }
            node.elapsed_s += 1
            message = PeerMessageReceived('t', json.dumps(fields_sent))
            answer = find(node.handle(message), AnswerPeer)[0]
            documents += bool(json.loads(answer.text).get('document'))
        return documents

    def test_peer_that_does_not_request_is_pushed_with_backoff(self):
        node = Node('a', write_document(5))
        assert 2 <= self.send_as_outdated_peer(node, 60) <= 6

    def test_peer_that_refused_the_document_is_not_pushed_it(self):
        node = Node('a', write_document(5))
        digest = node.core.parts.document_replica.digest
        assert self.send_as_outdated_peer(node, 60, refused=digest) == 0

    def test_change_is_sent_as_a_delta(self):
        nodes, network = make_fleet(4, write_document(1))
        network.run(5)
        network.texts.clear()
        change = write_document(2, deployment='changed')
        network.transmit(nodes[2], nodes[2].handle(DocumentRead(change)))
        assert count_revisions(nodes) == [2] * 4
        messages = [json.loads(text) for text in network.texts]
        assert not any(one.get('document') for one in messages)
        assert sum(bool(one.get('deltas')) for one in messages) == 3
        network.run(3)
        digests = {one.core.parts.document_replica.digest for one in nodes}
        assert len(digests) == 1

    def test_document_is_requested_if_deltas_do_not_apply(self):
        node = Node('b', write_document(1))
        fields = {
            'sender': 'a',
            'incarnation': 1,
            'sequence': 1,
            'address': 'a:1',
            'revision': 5,
            'digest': 'f' * 64,
        }
        requested = []
        for sequence, deltas in ((1, ''), (2, '[]'), (3, 'damaged')):
            node.elapsed_s += 2
            fields_sent = {**fields, 'sequence': sequence, 'deltas': deltas}
            effects = node.handle(
                PeerMessageReceived('t', json.dumps(fields_sent))
            )
            requested.extend(
                json.loads(one.text).get('wanted')
                for one in find(effects, SendPeerMessage)
                if one.peer == 'a'
            )
        assert [one for one in requested if one] == [
            'deltas',
            'document',
            'document',
        ]
        assert node.core.parts.document_replica.revision == 1

    def test_document_is_requested_from_one_peer_at_a_time(self):
        nodes, network = make_fleet(6, write_document(1))
        network.run(5)
        late = Node('z', None, (), seed=9, start_s=nodes[0].elapsed_s)
        late.handle(TimerFired())
        requested = 0
        for node in nodes:
            text = encode_exchange(node.core.exchanger.compose(at(0)))
            effects = late.handle(PeerMessageReceived('t', text))
            requested += sum(
                json.loads(one.text).get('wanted') == 'document'
                for one in find(effects, SendPeerMessage)
            )
        assert requested == 1

    def test_unreadable_messages_are_answered_and_logged(self):
        node = Node('a', write_document())
        for text in ('', '{}', '[]', '{"sender": "\\ud800"}', '[' * 100_000):
            effects = node.handle(PeerMessageReceived('t', text))
            assert find(effects, LogEvent)
            assert not node.handle(PeerAnswered('b', text))[1:]


class TestDocumentReads:
    def count_reads(self, node, text, seconds):
        reads = 0
        for _ in range(round(seconds / 0.1)):
            if find(node.run(0.1), ReadDocument):
                reads += 1
                node.handle(DocumentRead(text))
        return reads

    def test_stale_service_is_not_read_in_a_busy_loop(self):
        node = Node('a', write_document(5))
        assert self.count_reads(node, write_document(4), 60) <= 40

    def test_unavailable_service_is_read_with_backoff(self):
        node = Node('a', write_document(5))
        assert 15 <= self.count_reads(node, None, 60) <= 40

    def test_document_of_a_recovered_service_is_applied_soon(self):
        node = Node('a', write_document(5))
        self.count_reads(node, None, 60)
        self.count_reads(node, write_document(6), 4)
        assert node.core.parts.document_replica.revision == 6

    def test_few_instances_of_a_large_fleet_watch(self):
        nodes, network = make_fleet(40, write_document(5))
        network.run(30)
        before = [len(one.effects) for one in nodes]
        for _ in range(100):
            for node in nodes:
                effects = node.run(0.1)
                network.transmit(node, effects)
                if find(effects, ReadDocument):
                    node.elapsed_s += 0.01
                    node.handle(DocumentRead(None))
        reads = [
            len(find(node.effects[start:], ReadDocument))
            for node, start in zip(nodes, before, strict=True)
        ]
        watching = [one for one in reads if one > 1]
        assert 8 <= len(watching) <= 12
        assert sum(reads) < 120

    def test_reads_of_instances_are_not_synchronised(self):
        due_times = set()
        for seed in range(8):
            node = Node('a', write_document(5), seed=seed)
            node.run(0.1)
            self.count_reads(node, None, 20)
            due_times.add(node.core.document_poller._due_s)
        assert len(due_times) == 8


class TestLeavingTargets:
    def find_view(self, node):
        return node.core.parts.fleet.list_targets('writer')[0]

    def test_leaving_target_is_reported_to_every_instance_at_once(self):
        nodes, network = make_fleet(8, write_document())
        network.run(10)
        target = self.find_view(nodes[0]).name
        report = LoadReport(target, 0, 0, 1, leaving=True, incarnation=3)
        effects = nodes[5].handle(LoadRead(target, report))
        network.transmit(nodes[5], effects)
        assert all(self.find_view(one).leaving for one in nodes)

    def test_larger_fleet_is_informed_within_three_seconds(self):
        nodes, network = make_fleet(40, write_document())
        network.run(60)
        target = self.find_view(nodes[0]).name
        report = LoadReport(target, 0, 0, 1, leaving=True, incarnation=3)
        network.transmit(nodes[5], nodes[5].handle(LoadRead(target, report)))
        network.run(3)
        assert all(self.find_view(one).leaving for one in nodes)

    def test_burst_of_updates_is_sent_together(self):
        nodes, network = make_fleet(4, write_document())
        network.run(5)
        targets = nodes[0].core.parts.fleet.list_targets('writer')
        sent = 0
        for one in targets:
            report = LoadReport(one.name, 0, 0, 1, leaving=True)
            effects = nodes[0].handle(LoadRead(one.name, report))
            sent += len(find(effects, SendPeerMessage))
        assert sent == 3
        network.run(1)
        views = nodes[3].core.parts.fleet.list_targets('writer')
        assert all(one.leaving for one in views)

    def test_no_call_is_placed_on_a_target_that_leaves(self):
        node = Node('a', write_document())
        views = node.core.parts.fleet.list_targets('desk')
        for one in views[:-1]:
            node.handle(
                InstancesListed(
                    (),
                    tuple(
                        ListedTarget(
                            v.name, v.address, 'kandy', 'desk', leaving=True
                        )
                        for v in views[:-1]
                    ),
                ),
            )
        effects = node.call()
        assert find(effects, Dispatch)[0].target == views[-1].name


class TestPlannedStop:
    def stop(self, node, network, seconds):
        network.transmit(node, node.handle(StopRequested()))
        before = len(node.effects)
        network.run(seconds)
        return find(node.effects[before:], StopProcess)

    def use_key(self, node):
        key = self.request_key(node)
        effects = node.call(key=key)
        assert find(effects, Dispatch)
        ended = AttemptEnded(AttemptId('r1', 1), AttemptOutcome.FINISHED)
        node.handle(ended)
        return key

    def request_key(self, node):
        effects = node.handle(KeyRequested('t', 'hotel-desk'))
        return find(effects, AnswerKey)[0].key

    def test_successors_answer_for_keys_of_a_stopped_instance(self):
        nodes, network = make_fleet(3, write_document())
        network.run(3)
        used = self.use_key(nodes[0])
        unused = self.request_key(nodes[0])
        assert self.stop(nodes[0], network, 6)
        for other in nodes[1:]:
            verdicts = []
            for key in (used, unused):
                call = make_call(key, 'r9', 'hotel-desk')
                effects = other.handle(CallReceived(call))
                refusal = find(effects, RefuseCall)[0].refusal
                verdicts.append(refusal.verdict)
            assert verdicts == [Verdict.RAN, Verdict.NOT_RUN]

    def test_stop_waits_for_a_peer_that_confirms(self):
        nodes, network = make_fleet(2, write_document())
        network.run(3)
        self.use_key(nodes[0])
        network.partitioned = {nodes[1].name}
        assert not self.stop(nodes[0], network, 4)
        network.partitioned = set()
        before = len(nodes[0].effects)
        network.run(3)
        assert find(nodes[0].effects[before:], StopProcess)

    def test_stop_of_a_partitioned_instance_ends(self):
        nodes, network = make_fleet(2, write_document())
        network.run(3)
        key = self.use_key(nodes[0])
        network.partitioned = {nodes[1].name}
        assert self.stop(nodes[0], network, 14)
        call = make_call(key, 'r9', 'hotel-desk')
        effects = nodes[1].handle(CallReceived(call))
        effects += nodes[1].run(70)
        refusal = find(effects, RefuseCall)
        assert not find(effects, Dispatch)
        # A forward without a response ends at the deadline of the call.
        assert refusal[0].refusal.verdict is Verdict.MAY_HAVE_RUN

    def test_stop_waits_for_calls_in_progress(self):
        nodes, network = make_fleet(2, write_document())
        network.run(3)
        nodes[0].call()
        assert not self.stop(nodes[0], network, 20)
        nodes[0].handle(
            AttemptEnded(AttemptId('r1', 1), AttemptOutcome.FINISHED)
        )
        network.run(1)
        assert find(nodes[0].effects, StopProcess)

    def test_call_without_a_key_is_accepted_until_the_stop(self):
        nodes, network = make_fleet(2, write_document())
        network.run(3)
        self.use_key(nodes[0])
        network.partitioned = {nodes[1].name}
        self.stop(nodes[0], network, 5)
        assert find(nodes[0].call(request_id='r2'), Dispatch)
        key = self.request_key(nodes[1])
        call = make_call(key, 'r3', 'hotel-desk', forwarded=True)
        refusal = nodes[0].handle(CallReceived(call))[0].refusal
        assert refusal.code is RefusalCode.KEY_OWNER_GONE

    def test_owner_that_is_gone_without_handover(self):
        nodes, network = make_fleet(2, write_document())
        network.run(3)
        key = self.request_key(nodes[0])
        listed = (ListedInstance(nodes[0].name, nodes[0].address, 'kandy'),)
        nodes[1].handle(InstancesListed(listed))
        restarted = Node(nodes[0].name, write_document(), seed=77)
        network.nodes[restarted.address] = restarted
        network.run(3)
        call = make_call(key, 'r9', 'hotel-desk')
        refusal = nodes[1].handle(CallReceived(call))[0].refusal
        assert refusal.code is RefusalCode.KEY_OWNER_GONE
        assert refusal.verdict is Verdict.MAY_HAVE_RUN
