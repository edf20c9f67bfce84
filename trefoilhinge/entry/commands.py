"""Command that runs an entry instance as a process."""

import signal
import sys

import logbook

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
    entry = make_entry(settings)
    entry.start()

    def handle_signal(signal_number: int, frame: object) -> None:
        entry.request_stop()

    signal.signal(signal.SIGTERM, handle_signal)
    signal.signal(signal.SIGINT, handle_signal)
    entry.stopped.wait()
    entry.close()
