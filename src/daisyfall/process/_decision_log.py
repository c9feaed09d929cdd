"""Log of decisions as JSON lines on standard output, within a budget of lines a second.

A line over the budget, or one that the reader of the output has no room for, is dropped and
counted, so that logging delays no request.
"""

import json
import os
import sys
from collections.abc import Callable

from loguru import logger

from daisyfall import _clock

# About 3% of a core at the measured cost of a line; errors and warnings are never over it.
LINES_PER_SECOND = 400
BURST_LINES = 800
MOST_UNWRITTEN_BYTES = 256 * 1024
_ALWAYS = ("WARNING", "ERROR", "CRITICAL")


class Sink:
    """Writes lines to a file descriptor that does not block; `unwritten` waits for room."""

    def __init__(self, descriptor: int, count_dropped: Callable[[int], None]):
        self._descriptor = descriptor
        self._count_dropped = count_dropped
        self._budget = float(BURST_LINES)
        self._refilled_at = _clock.monotonic()
        self._dropped = 0
        self.unwritten = b""

    def write(self, message) -> None:
        """Write one record of loguru, or drop and count it."""
        record = message.record
        now = _clock.monotonic()
        self._budget = min(BURST_LINES, self._budget + (now - self._refilled_at) * LINES_PER_SECOND)
        self._refilled_at = now
        if self._budget < 1 and record["level"].name not in _ALWAYS:
            self._drop(1)
            return
        self._budget -= 1
        line = _describe(record)
        if self._dropped:
            line["dropped_before"] = self._dropped
            self._dropped = 0
        self._write(json.dumps(line, ensure_ascii=False).encode() + b"\n")

    def _drop(self, lines: int) -> None:
        self._dropped += lines
        self._count_dropped(lines)

    def _write(self, data: bytes) -> None:
        data = self.unwritten + data
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads the output; there is no other place to report that.
            written = len(data)
        self.unwritten = data[written:]
        if len(self.unwritten) > MOST_UNWRITTEN_BYTES:
            # Cut at a line's end, so that what follows stays readable.
            cut = self.unwritten.index(b"\n") + 1
            dropped = self.unwritten.count(b"\n", cut)
            self.unwritten = self.unwritten[:cut]
            self._drop(dropped)


def _describe(record: dict) -> dict:
    line = {
        "at": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "text": record["message"],
        **record["extra"],
    }
    error = record["exception"]
    if error and error.type:
        line["error"] = f"{error.type.__name__}: {error.value}"
    return line


def configure(process_id: str, role: str, count_dropped: Callable[[int], None]) -> None:
    """Send the log of this process to standard output."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    logger.remove()
    logger.configure(extra={"process": process_id, "role": role})
    logger.add(Sink(descriptor, count_dropped).write, level="INFO", format="{message}")
