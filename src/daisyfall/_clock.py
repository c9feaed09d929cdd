"""Clocks: `monotonic` for leases and timeouts, `wall_ms` for timestamps in ids and rows."""

import time


def monotonic() -> float:
    """Return the seconds of a monotonic clock that also advances while the host is suspended."""
    # CLOCK_MONOTONIC stops during a suspension, so a lease would be used after its expiry.
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Return the wall-clock time in milliseconds since the Unix epoch."""
    return time.time_ns() // 1_000_000
