"""Decision log: JSON lines on standard output, rate-limited by a token bucket.

A line that exceeds the rate limit, or that the reader of standard output is too slow to take,
is dropped and counted, so that logging never delays a request.
"""

import os
import sys
from collections.abc import Callable

import orjson
from loguru import logger

from daisyfall import _clock

# Bounds the processor time of logging. Warnings and errors are always written.
LINES_PER_SECOND = 400
BURST_LINES = 800
MAX_UNWRITTEN_BYTES = 256 * 1024
_ENCODING = orjson.OPT_APPEND_NEWLINE | orjson.OPT_NON_STR_KEYS
_UNLIMITED_LEVELS = ("WARNING", "ERROR", "CRITICAL")


class Sink:
    """Writes lines to a non-blocking file descriptor; `unwritten` holds the pending output."""

    def __init__(self, descriptor: int, count_dropped: Callable[[int], None]):
        self._descriptor = descriptor
        self._count_dropped = count_dropped
        self._available_lines = float(BURST_LINES)
        self._refilled_at = _clock.monotonic()
        self._dropped = 0
        self.unwritten = b""

    def write(self, message) -> None:
        """Write one record of loguru, or drop and count it if it exceeds the rate limit."""
        record = message.record
        now = _clock.monotonic()
        self._available_lines = min(
            BURST_LINES, self._available_lines + (now - self._refilled_at) * LINES_PER_SECOND
        )
        self._refilled_at = now
        if self._available_lines < 1 and record["level"].name not in _UNLIMITED_LEVELS:
            self._drop(1)
            return
        self._available_lines -= 1
        fields = _to_fields(record)
        if self._dropped:
            fields["dropped_before"] = self._dropped
            self._dropped = 0
        self._write(orjson.dumps(fields, default=str, option=_ENCODING))

    def _drop(self, lines: int) -> None:
        self._dropped += lines
        self._count_dropped(lines)

    def _write(self, output: bytes) -> None:
        output = self.unwritten + output
        try:
            written = os.write(self._descriptor, output)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed the output, and there is no other place to report that.
            written = len(output)
        self.unwritten = output[written:]
        if len(self.unwritten) > MAX_UNWRITTEN_BYTES:
            # Keep the first line, which may be partly written, so that later lines stay readable.
            line_end = self.unwritten.index(b"\n") + 1
            dropped = self.unwritten.count(b"\n", line_end)
            self.unwritten = self.unwritten[:line_end]
            self._drop(dropped)


def _to_fields(record: dict) -> dict:
    fields = {
        "at": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "text": record["message"],
        **record["extra"],
    }
    error = record["exception"]
    if error and error.type:
        fields["error"] = f"{error.type.__name__}: {error.value}"
    return fields


def configure(process_id: str, role: str, count_dropped: Callable[[int], None]) -> None:
    """Send the log of this process to standard output with bound process id and role."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    logger.remove()
    logger.configure(extra={"process": process_id, "role": role})
    logger.add(Sink(descriptor, count_dropped).write, level="INFO", format="{message}")
