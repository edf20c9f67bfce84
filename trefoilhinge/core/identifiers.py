"""Names by which instances, targets, requests and attempts are known."""

from typing import NewType

from attrs import frozen

RequestId = NewType('RequestId', str)
TargetName = NewType('TargetName', str)
InstanceName = NewType('InstanceName', str)
StreamId = NewType('StreamId', str)
ReservationTag = NewType('ReservationTag', str)


@frozen(order=True)
class InstanceIdentity:
    """One life of an instance.

    :ivar name: name of the instance, from its settings.
    :ivar incarnation: wall clock at the start, in milliseconds; a restart
        takes a larger one.
    """

    name: InstanceName
    incarnation: int


@frozen
class AttemptId:
    """One sending of a request to one target.

    :ivar request_id: the request.
    :ivar number: one for the first attempt.
    """

    request_id: RequestId
    number: int

    def __str__(self) -> str:
        """Return the form used in headers and tags."""
        return f'{self.request_id}.{self.number}'
