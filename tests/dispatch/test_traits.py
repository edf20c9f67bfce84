"""Tests of the traits that calls have in common."""

import pytest
from attrs import evolve

from tests.dispatch.samples import make_route
from trefoilhinge.dispatch.calls import Call, CallHead
from trefoilhinge.dispatch.documents import Organisation
from trefoilhinge.dispatch.traits import list_traits

HEAD = CallHead(
    method=b'POST',
    target=b'/look/1?x=1',
    host='desk.example',
    path='/look/1',
    request_id='r-1',
    api_key='key-1',
    timeout_s=3,
    prompt_size=None,
    last_event=None,
    forwarded_headers=(),
)
CALL = Call(
    head=HEAD,
    body=b'body',
    route=make_route(),
    service='desk',
    organisation=Organisation('mill', 1),
    received_s=1,
    deadline_s=4,
    caller_deadline_s=4,
)


class TestParts:
    def test_shared_parts_are_traits(self):
        head = evolve(HEAD, prompt_parts=('a', 'b'))
        traits = list_traits(evolve(CALL, head=head))
        assert traits == ('part/a', 'part/b', *list_traits(CALL))


class TestRequest:
    @pytest.mark.parametrize(
        'other',
        [
            evolve(CALL, body=b'other'),
            evolve(CALL, organisation=Organisation('other', 1)),
            evolve(CALL, organisation=None),
            evolve(CALL, head=evolve(HEAD, target=b'/look/1?x=2')),
            evolve(CALL, head=evolve(HEAD, host='other.example')),
            evolve(
                CALL, head=evolve(HEAD, target=b'/look/1?x=1\nbo'), body=b'dy'
            ),
        ],
    )
    def test_requests_that_differ_have_different_traits(self, other):
        assert list_traits(other) != list_traits(CALL)

    def test_request_that_comes_again_has_the_same_trait(self):
        head = evolve(HEAD, request_id='r-2', timeout_s=1, host='Desk.Example')
        again = evolve(CALL, head=head, received_s=9)
        assert list_traits(again) == list_traits(CALL)
