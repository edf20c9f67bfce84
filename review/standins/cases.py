"""How a case is run: its record, its verdict and its end."""

import asyncio
import os
import pathlib
import sys
import time
from collections.abc import Awaitable, Callable

from review.standins.deployment import CannotRun, Deployment

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class Record:
    """Lines of what was sent, answered and run, with times of the run."""

    def __init__(self, path: pathlib.Path) -> None:
        """Begin an empty record."""
        self._path = path
        self._began_s = time.monotonic()
        self._lines: list[str] = []

    def write(self, text: str) -> None:
        """Add a line with the seconds since the start."""
        now_s = time.monotonic() - self._began_s
        self._lines.append(f'{now_s:8.3f} {text}')

    def save(self) -> None:
        """Write the file."""
        self._path.write_text('\n'.join(self._lines) + '\n')


def run_case(
    folder: pathlib.Path,
    play: Callable[[Deployment, Record, bool], Awaitable[bool]],
) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, else 2.

    :param play: plays the case, with or without the disruption; returns
        whether the rule was broken.
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(folder / 'record.txt')
    record.write('with the disruption' if has_trouble else 'no disruption')
    sys.exit(asyncio.run(_run(play, record, has_trouble=has_trouble)))


async def _run(
    play: Callable[[Deployment, Record, bool], Awaitable[bool]],
    record: Record,
    *,
    has_trouble: bool,
) -> int:
    deployment = None
    try:
        deployment = Deployment()
        is_broken = await play(deployment, record, has_trouble)
    except (CannotRun, OSError) as problem:
        record.write(f'could not run: {type(problem).__name__}: {problem}')
        return COULD_NOT_RUN
    finally:
        if deployment is not None:
            deployment.stop()
        record.save()
    record.write('the rule was broken' if is_broken else 'the rule held')
    record.save()
    return BROKEN if is_broken else HELD
