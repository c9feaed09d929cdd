"""Clocks: leases and timeouts use `monotonic`, times in ids and rows use `wall_ms`."""

import time


def monotonic() -> float:
    """Return seconds on a monotonic clock that also counts suspended time."""
    # CLOCK_MONOTONIC stops while a host is suspended, so a lease would outlive its time.
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Return milliseconds since the Unix epoch."""
    return time.time_ns() // 1_000_000
