"""Identifiers of instances, targets, requests and attempts."""

from typing import NewType

from attrs import frozen

RequestId = NewType('RequestId', str)
TargetName = NewType('TargetName', str)
InstanceName = NewType('InstanceName', str)
StreamId = NewType('StreamId', str)
ReservationTag = NewType('ReservationTag', str)


@frozen(order=True)
class InstanceIdentity:
    """One run of an instance, from its start to its exit.

    :ivar name: name of the instance, from its settings.
    :ivar incarnation: wall clock at the start, in milliseconds; larger after
        a restart.
    """

    name: InstanceName
    incarnation: int


@frozen
class AttemptId:
    """Identifier of one attempt to send a request to a target.

    :ivar request_id: identifier of the request.
    :ivar number: number of the attempt, from one.
    """

    request_id: RequestId
    number: int

    def __str__(self) -> str:
        """Return the text form used in headers and reservation tags."""
        return f'{self.request_id}.{self.number}'
