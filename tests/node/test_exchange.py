import json

from tests.node.nodes import Net, Node, find, write_document
from tests.retries.calls import at, make_call
from trefoilhinge.conf.messages import write_exchange
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
    """Return nodes that each know the one before by its address alone."""
    nodes = []
    for number in range(count):
        seeds = (nodes[-1].address,) if nodes else ()
        name = f'{chr(97 + number % 26)}{number // 26}'
        nodes.append(Node(name, document, seeds, seed=number + 1))
    return nodes, Net(*nodes)


def count_revisions(nodes):
    return [one.core.parts.keeper.revision for one in nodes]


class TestDocuments:
    def test_fleet_that_knows_one_seed_each_agrees(self):
        nodes, net = make_fleet(6, write_document(1))
        net.tick(5)
        nodes[0].tell(DocumentRead(write_document(7)))
        net.tick(1)
        assert count_revisions(nodes) == [7] * 6

    def test_change_is_told_at_once(self):
        nodes, net = make_fleet(4, write_document(1))
        net.tick(5)
        net.carry(nodes[2], nodes[2].tell(DocumentRead(write_document(2))))
        assert count_revisions(nodes) == [2] * 4

    def test_start_beside_a_stale_service_catches_up_before_ready(self):
        nodes, net = make_fleet(2, write_document(9))
        net.tick(3)
        late = Node(
            'z',
            write_document(3),
            (nodes[0].address,),
            seed=9,
            start_s=nodes[0].elapsed_s,
        )
        net.nodes[late.address] = late
        net.tick(1.5)
        assert not late.core.ready
        assert late.core.parts.keeper.revision == 9
        net.tick(1.5)
        assert late.core.ready

    def test_start_beside_a_service_that_is_down_catches_up(self):
        nodes, net = make_fleet(2, write_document(9))
        late = Node('z', None, (nodes[0].address,), seed=9)
        net.nodes[late.address] = late
        late.tell(TimerFired())
        late.tell(DocumentRead(None))
        net.tick(3)
        assert late.core.parts.keeper.revision == 9
        assert late.core.ready

    def test_older_document_is_never_taken_again(self):
        nodes, net = make_fleet(2, write_document(5))
        nodes[0].tell(DocumentRead(write_document(4)))
        net.tick(3)
        assert count_revisions(nodes) == [5, 5]

    def test_documents_of_one_revision_end_as_one_with_a_log(self):
        nodes, net = make_fleet(3, write_document(1))
        net.tick(3)
        texts = [write_document(2, deployment=name) for name in ('x', 'y')]
        nodes[0].tell(DocumentRead(texts[0]))
        nodes[1].tell(DocumentRead(texts[1]))
        net.tick(3)
        digests = {one.core.parts.keeper.digest for one in nodes}
        assert len(digests) == 1
        logs = [e.name for n in nodes for e in find(n.effects, LogEvent)]
        assert 'document_clash' in logs

    def test_invalid_newer_document_does_not_block(self):
        nodes, net = make_fleet(2, write_document(1))
        net.tick(2)
        nodes[0].tell(DocumentRead(write_document(8, organisations=[])))
        nodes[0].tell(DocumentRead(write_document(2)))
        net.tick(2)
        assert count_revisions(nodes) == [2, 2]

    def talk_as_old(self, node, seconds, **fields):
        """Count the documents passed to a peer that stays behind."""
        passed = 0
        for number in range(seconds):
            words = {
                'sender': 'old',
                'incarnation': 1,
                'sequence': number,
                'address': '10.9.9.9:1',
                'revision': 1,
                'digest': '',
                **fields,
            }
            node.elapsed_s += 1
            message = PeerMessageReceived('t', json.dumps(words))
            answer = find(node.tell(message), AnswerPeer)[0]
            passed += bool(json.loads(answer.text).get('document'))
        return passed

    def test_peer_that_does_not_ask_is_passed_the_document_ever_less(self):
        node = Node('a', write_document(5))
        assert 2 <= self.talk_as_old(node, 60) <= 6

    def test_peer_that_refused_the_document_is_left_alone(self):
        node = Node('a', write_document(5))
        digest = node.core.parts.keeper.digest
        assert self.talk_as_old(node, 60, refused=digest) == 0

    def test_change_travels_as_a_delta(self):
        nodes, net = make_fleet(4, write_document(1))
        net.tick(5)
        net.texts.clear()
        change = write_document(2, deployment='changed')
        net.carry(nodes[2], nodes[2].tell(DocumentRead(change)))
        assert count_revisions(nodes) == [2] * 4
        messages = [json.loads(text) for text in net.texts]
        assert not any(one.get('document') for one in messages)
        assert sum(bool(one.get('deltas')) for one in messages) == 3
        net.tick(3)
        digests = {one.core.parts.keeper.digest for one in nodes}
        assert len(digests) == 1

    def test_document_is_asked_for_where_deltas_do_not_fit(self):
        node = Node('b', write_document(1))
        fields = {
            'sender': 'a',
            'incarnation': 1,
            'sequence': 1,
            'address': 'a:1',
            'revision': 5,
            'digest': 'f' * 64,
        }
        asked = []
        for sequence, deltas in ((1, ''), (2, '[]'), (3, 'damaged')):
            node.elapsed_s += 2
            words = {**fields, 'sequence': sequence, 'deltas': deltas}
            effects = node.tell(PeerMessageReceived('t', json.dumps(words)))
            asked.extend(
                json.loads(one.text).get('wanted')
                for one in find(effects, SendPeerMessage)
                if one.peer == 'a'
            )
        assert [one for one in asked if one] == [
            'deltas',
            'document',
            'document',
        ]
        assert node.core.parts.keeper.revision == 1

    def test_document_is_asked_of_one_peer_at_a_time(self):
        nodes, net = make_fleet(6, write_document(1))
        net.tick(5)
        late = Node('z', None, (), seed=9, start_s=nodes[0].elapsed_s)
        late.tell(TimerFired())
        asked = 0
        for node in nodes:
            text = write_exchange(node.core.exchanger.compose(at(0)))
            effects = late.tell(PeerMessageReceived('t', text))
            asked += sum(
                json.loads(one.text).get('wanted') == 'document'
                for one in find(effects, SendPeerMessage)
            )
        assert asked == 1

    def test_unreadable_messages_are_answered_and_logged(self):
        node = Node('a', write_document())
        for text in ('', '{}', '[]', '{"sender": "\\ud800"}', '[' * 100_000):
            effects = node.tell(PeerMessageReceived('t', text))
            assert find(effects, LogEvent)
            assert not node.tell(PeerAnswered('b', text))[1:]


class TestReadsOfTheService:
    def count_reads(self, node, text, seconds):
        reads = 0
        for _ in range(round(seconds / 0.1)):
            if find(node.wait(0.1), ReadDocument):
                reads += 1
                node.tell(DocumentRead(text))
        return reads

    def test_stale_service_that_answers_at_once_is_not_asked_in_a_loop(self):
        node = Node('a', write_document(5))
        assert self.count_reads(node, write_document(4), 60) <= 40

    def test_service_that_is_down_is_asked_less_and_less(self):
        node = Node('a', write_document(5))
        assert 15 <= self.count_reads(node, None, 60) <= 40

    def test_document_of_a_service_that_came_back_is_in_force_soon(self):
        node = Node('a', write_document(5))
        self.count_reads(node, None, 60)
        self.count_reads(node, write_document(6), 4)
        assert node.core.parts.keeper.revision == 6

    def test_few_instances_of_a_large_fleet_watch(self):
        nodes, net = make_fleet(40, write_document(5))
        net.tick(30)
        before = [len(one.effects) for one in nodes]
        for _ in range(100):
            for node in nodes:
                effects = node.wait(0.1)
                net.carry(node, effects)
                if find(effects, ReadDocument):
                    node.elapsed_s += 0.01
                    node.tell(DocumentRead(None))
        reads = [
            len(find(node.effects[start:], ReadDocument))
            for node, start in zip(nodes, before, strict=True)
        ]
        watching = [one for one in reads if one > 1]
        assert 8 <= len(watching) <= 12
        assert sum(reads) < 120

    def test_instances_do_not_read_in_step(self):
        firsts = set()
        for seed in range(8):
            node = Node('a', write_document(5), seed=seed)
            node.wait(0.1)
            self.count_reads(node, None, 20)
            firsts.add(node.core.document_poller._due_s)
        assert len(firsts) == 8


class TestLeavingTargets:
    def find_view(self, node):
        return node.core.parts.fleet.list_targets('writer')[0]

    def test_word_of_one_instance_reaches_every_other_at_once(self):
        nodes, net = make_fleet(8, write_document())
        net.tick(10)
        target = self.find_view(nodes[0]).name
        report = LoadReport(target, 0, 0, 1, leaving=True, incarnation=3)
        effects = nodes[5].tell(LoadRead(target, report))
        net.carry(nodes[5], effects)
        assert all(self.find_view(one).leaving for one in nodes)

    def test_larger_fleet_knows_within_three_seconds(self):
        nodes, net = make_fleet(40, write_document())
        net.tick(60)
        target = self.find_view(nodes[0]).name
        report = LoadReport(target, 0, 0, 1, leaving=True, incarnation=3)
        net.carry(nodes[5], nodes[5].tell(LoadRead(target, report)))
        net.tick(3)
        assert all(self.find_view(one).leaving for one in nodes)

    def test_burst_of_news_is_told_together(self):
        nodes, net = make_fleet(4, write_document())
        net.tick(5)
        targets = nodes[0].core.parts.fleet.list_targets('writer')
        sent = 0
        for one in targets:
            report = LoadReport(one.name, 0, 0, 1, leaving=True)
            effects = nodes[0].tell(LoadRead(one.name, report))
            sent += len(find(effects, SendPeerMessage))
        assert sent == 3
        net.tick(1)
        views = nodes[3].core.parts.fleet.list_targets('writer')
        assert all(one.leaving for one in views)

    def test_no_call_is_placed_on_a_target_that_leaves(self):
        node = Node('a', write_document())
        views = node.core.parts.fleet.list_targets('desk')
        for one in views[:-1]:
            node.tell(
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
    def stop(self, node, net, seconds):
        net.carry(node, node.tell(StopRequested()))
        before = len(node.effects)
        net.tick(seconds)
        return find(node.effects[before:], StopProcess)

    def use_key(self, node):
        key = self.mint(node)
        effects = node.call(key=key)
        assert find(effects, Dispatch)
        ended = AttemptEnded(AttemptId('r1', 1), AttemptOutcome.FINISHED)
        node.tell(ended)
        return key

    def mint(self, node):
        effects = node.tell(KeyRequested('t', 'hotel-desk'))
        return find(effects, AnswerKey)[0].key

    def test_successors_answer_for_the_keys_of_a_stopped_instance(self):
        nodes, net = make_fleet(3, write_document())
        net.tick(3)
        used = self.use_key(nodes[0])
        unused = self.mint(nodes[0])
        assert self.stop(nodes[0], net, 6)
        for other in nodes[1:]:
            verdicts = []
            for key in (used, unused):
                call = make_call(key, 'r9', 'hotel-desk')
                effects = other.tell(CallReceived(call))
                refusal = find(effects, RefuseCall)[0].refusal
                verdicts.append(refusal.verdict)
            assert verdicts == [Verdict.RAN, Verdict.NOT_RUN]

    def test_stop_waits_for_a_peer_that_confirms(self):
        nodes, net = make_fleet(2, write_document())
        net.tick(3)
        self.use_key(nodes[0])
        net.cut = {nodes[1].name}
        assert not self.stop(nodes[0], net, 4)
        net.cut = set()
        before = len(nodes[0].effects)
        net.tick(3)
        assert find(nodes[0].effects[before:], StopProcess)

    def test_stop_of_an_instance_that_is_cut_off_ends(self):
        nodes, net = make_fleet(2, write_document())
        net.tick(3)
        key = self.use_key(nodes[0])
        net.cut = {nodes[1].name}
        assert self.stop(nodes[0], net, 14)
        call = make_call(key, 'r9', 'hotel-desk')
        effects = nodes[1].tell(CallReceived(call))
        effects += nodes[1].wait(70)
        refusal = find(effects, RefuseCall)
        assert not find(effects, Dispatch)
        # A forward that is never answered ends with the call's deadline.
        assert refusal[0].refusal.verdict is Verdict.MAY_HAVE_RUN

    def test_stop_cuts_off_no_call(self):
        nodes, net = make_fleet(2, write_document())
        net.tick(3)
        nodes[0].call()
        assert not self.stop(nodes[0], net, 20)
        nodes[0].tell(AttemptEnded(AttemptId('r1', 1), AttemptOutcome.FINISHED))
        net.tick(1)
        assert find(nodes[0].effects, StopProcess)

    def test_call_without_a_key_is_taken_until_the_end(self):
        nodes, net = make_fleet(2, write_document())
        net.tick(3)
        self.use_key(nodes[0])
        net.cut = {nodes[1].name}
        self.stop(nodes[0], net, 5)
        assert find(nodes[0].call(request_id='r2'), Dispatch)
        key = self.mint(nodes[1])
        call = make_call(key, 'r3', 'hotel-desk', forwarded=True)
        refusal = nodes[0].tell(CallReceived(call))[0].refusal
        assert refusal.code is RefusalCode.KEY_OWNER_GONE

    def test_owner_that_is_gone_and_handed_nothing_over(self):
        nodes, net = make_fleet(2, write_document())
        net.tick(3)
        key = self.mint(nodes[0])
        listed = (ListedInstance(nodes[0].name, nodes[0].address, 'kandy'),)
        nodes[1].tell(InstancesListed(listed))
        reborn = Node(nodes[0].name, write_document(), seed=77)
        net.nodes[reborn.address] = reborn
        net.tick(3)
        call = make_call(key, 'r9', 'hotel-desk')
        refusal = nodes[1].tell(CallReceived(call))[0].refusal
        assert refusal.code is RefusalCode.KEY_OWNER_GONE
        assert refusal.verdict is Verdict.MAY_HAVE_RUN
