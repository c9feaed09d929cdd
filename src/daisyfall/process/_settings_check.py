"""Checks of settings that depend on more than one key; pure functions."""

from collections.abc import Iterator

import attrs

from daisyfall.process import _settings


@attrs.frozen
class Conflict:
    """Keys whose values contradict each other; the problem is reported for the first one."""

    keys: tuple[str, ...]
    expected: str


def find_conflicts(settings: _settings.Settings) -> list[Conflict]:
    """Return all conflicts between keys."""
    conflicts = [*_check_lease(settings), *_check_jobs(settings), *_check_listeners(settings)]
    if settings.role == "agent":
        conflicts += _check_agent(settings)
    if not settings.keys:
        conflicts.append(Conflict(("keys", "secrets_file"), "at least one shared key"))
    return conflicts


def _check_lease(settings: _settings.Settings) -> Iterator[Conflict]:
    lease = settings.lease
    usable_lease_ms = lease.lease_ms - lease.margin_ms
    if lease.renew_ms >= usable_lease_ms:
        yield Conflict(
            ("lease.renew_ms", "lease.lease_ms", "lease.margin_ms"),
            f"less than lease.lease_ms - lease.margin_ms ({usable_lease_ms})",
        )
    if lease.poll_ms >= lease.lease_ms:
        yield Conflict(
            ("lease.poll_ms", "lease.lease_ms"), f"less than lease.lease_ms ({lease.lease_ms})"
        )
    if lease.heartbeat_ms >= lease.heartbeat_limit_ms:
        yield Conflict(
            ("lease.heartbeat_ms", "lease.heartbeat_limit_ms"),
            f"less than lease.heartbeat_limit_ms ({lease.heartbeat_limit_ms})",
        )
    # If one renewal could take as long as the lease, no second attempt would be possible.
    if settings.table.timeout_ms >= lease.lease_ms:
        yield Conflict(
            ("table.timeout_ms", "lease.lease_ms"), f"less than lease.lease_ms ({lease.lease_ms})"
        )


def _check_jobs(settings: _settings.Settings) -> Iterator[Conflict]:
    jobs = settings.jobs
    if jobs.clock_tolerance_ms > jobs.clock_skew_ms:
        yield Conflict(
            ("jobs.clock_tolerance_ms", "jobs.clock_skew_ms"),
            f"at most jobs.clock_skew_ms ({jobs.clock_skew_ms})",
        )
    # The deadline (at most half the retention time) plus the clock error of the job id must stay
    # within the retention time.
    max_deadline_ms = jobs.retention_ms // 2
    if jobs.clock_skew_ms >= max_deadline_ms:
        yield Conflict(
            ("jobs.clock_skew_ms", "jobs.retention_ms"),
            f"less than half of jobs.retention_ms ({max_deadline_ms})",
        )
    if settings.limits.request_timeout_ms > max_deadline_ms:
        yield Conflict(
            ("limits.request_timeout_ms", "jobs.retention_ms"),
            f"at most half of jobs.retention_ms ({max_deadline_ms})",
        )


def _check_listeners(settings: _settings.Settings) -> Iterator[Conflict]:
    if settings.role == "entry" and settings.http.port == settings.peer.port != 0:
        yield Conflict(
            ("peer.port", "http.port"), f"another port than http.port ({settings.http.port})"
        )
    for name, address in (("http", settings.http), ("peer", settings.peer)):
        if address.host in ("0.0.0.0", "::") and not address.advertise_host:
            yield Conflict(
                (f"{name}.advertise_host", f"{name}.host"),
                f"an address that others can dial, because {name}.host is {address.host}",
            )


def _check_agent(settings: _settings.Settings) -> Iterator[Conflict]:
    runner, retention_ms = settings.runner, settings.jobs.retention_ms
    if not settings.entries:
        yield Conflict(("entries",), "at least one host:port for the role agent")
    # Each running task uses one connection to the runner.
    if runner.slots > runner.connections:
        yield Conflict(
            ("runner.slots", "runner.connections"),
            f"at most runner.connections ({runner.connections})",
        )
    if runner.drain_limit_ms > retention_ms:
        yield Conflict(
            ("runner.drain_limit_ms", "jobs.retention_ms"),
            f"at most jobs.retention_ms ({retention_ms})",
        )
