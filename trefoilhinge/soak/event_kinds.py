"""Kinds of the events of a soak."""

import enum


class FaultKind(enum.Enum):
    """Fault of an instance, a target, the store or connections.

    The links are the connections through one proxy, to a target or the store.
    """

    kill = 'kill'
    pause = 'pause'
    store_down = 'store_down'
    restore_store = 'restore_store'
    reset_links = 'reset_links'
    silence_links = 'silence_links'
    cut_one_way = 'cut_one_way'
    delay_links = 'delay_links'
    lose_answers = 'lose_answers'
    tear_streams = 'tear_streams'
    stay_mute = 'stay_mute'
    refuse = 'refuse'


class MaintenanceKind(enum.Enum):
    """Planned maintenance by operators."""

    stop = 'stop'
    reload = 'reload'
    change_document = 'change_document'
    revoke_key = 'revoke_key'
    drain_target = 'drain_target'


class NeedKind(enum.Enum):
    """What a target in need asks of all instances together."""

    name_limit = 'name_limit'


class CrashKind(enum.Enum):
    """What the requests have in common that crash targets for a time.

    The requests are new ones with one part in their prompts, or one request of
    one caller that comes again.
    """

    part = 'part'
    request = 'request'


class EntryKind(enum.Enum):
    """What the store does that is no fault, and shows what entries prove."""

    cut_watches = 'cut_watches'
    remove_target = 'remove_target'


class ReaderKind(enum.Enum):
    """What callers that read slowly meet."""

    stop = 'stop'


class StopKind(enum.Enum):
    """How instances stop while more long prompts wait than engines have room.

    They stop one after another, or several at a time; ``repeated`` orders come
    more than once, beside orders to reload.
    """

    in_series = 'in_series'
    together = 'together'
    repeated = 'repeated'


class ExpiryKind(enum.Enum):
    """What the store is cut off from while entries expire."""

    target = 'target'


class OutageKind(enum.Enum):
    """What happens during an outage of the store."""

    restart = 'restart'


class ColdKind(enum.Enum):
    """What turns cold: one target, or all targets of its service."""

    target = 'target'
    service = 'service'


class SilenceKind(enum.Enum):
    """What changes in the store just before it is silent for a moment."""

    removal = 'removal'
    revocation = 'revocation'


class EvacuationKind(enum.Enum):
    """What happens to an instance that the store does not reach meanwhile.

    A ``cut`` one runs on, and a ``restart`` one is killed and started again.
    """

    cut = 'cut'
    restart = 'restart'


class StreamKind(enum.Enum):
    """What a target does to the streams that it sends."""

    spoil = 'spoil'


class DemandKind(enum.Enum):
    """How the load changes."""

    switch = 'switch'


class RetryKind(enum.Enum):
    """What some callers do after a refusal."""

    at_once = 'at_once'


class CrowdKind(enum.Enum):
    """What clients that do not behave send, and stay connected."""

    bodies = 'bodies'
    chunks = 'chunks'
    connections = 'connections'


EventKind = (
    FaultKind
    | MaintenanceKind
    | NeedKind
    | CrashKind
    | EntryKind
    | ReaderKind
    | StopKind
    | ExpiryKind
    | OutageKind
    | ColdKind
    | SilenceKind
    | StreamKind
    | EvacuationKind
    | DemandKind
    | RetryKind
    | CrowdKind
)
