"""Command that runs an entry instance as a process."""

import queue
import signal
import sys
import threading

import logbook

from trefoilhinge.allocator import make_allocator
from trefoilhinge.conf.generated.settings import Settings
from trefoilhinge.entry.daemon import make_entry


def run_entry(settings: Settings) -> None:
    """Serve until SIGTERM or SIGINT, then finish all work in progress."""
    handler = logbook.StreamHandler(
        sys.stderr,
        level=settings.log_level,
        format_string='time={record.time:%Y-%m-%dT%H:%M:%S.%f} '
        'level={record.level_name} {record.message}',
    )
    handler.push_application()
    allocator = make_allocator()
    allocator.map_long_blocks()
    allocator.share_heaps()
    stop_requests: queue.SimpleQueue[int] = queue.SimpleQueue()

    def handle_signal(signal_number: int, frame: object) -> None:
        # Other queues and events deadlock if the signal interrupts the thread
        # that holds their lock.
        stop_requests.put(signal_number)

    # The handlers precede the listeners: the default action would cut calls
    # that the instance takes before its start is complete.
    signal.signal(signal.SIGTERM, handle_signal)
    signal.signal(signal.SIGINT, handle_signal)
    entry = make_entry(settings)
    entry.start()

    def await_stop_request() -> None:
        stop_requests.get()
        entry.request_stop()

    threading.Thread(target=await_stop_request, daemon=True).start()
    entry.stopped.wait()
    entry.close()
