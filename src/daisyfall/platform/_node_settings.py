"""The settings file that the platform writes for each process, decoded into own types."""

import pathlib
from collections.abc import Mapping

import attrs

# Seconds kept free before the platform kills a process that was told to stop.
STOP_MARGIN_S = 0.8
DEFAULT_RESEND_MS = 1300.0


class NodeSettingsError(Exception):
    """A field that is needed is missing or unreadable; the text names it."""


@attrs.frozen
class NodeSettings:
    """Settings of one process; addresses are `host:port`, times in seconds, memory in MB.

    `caller_address` and `readiness_address` are set on entry hosts, `runner_address` (where the
    runner's heartbeats arrive) on runner hosts. `cores` is the share of a core times its speed.
    """

    node_id: str
    host_address: str
    data_centre: str
    store_address: str
    internal_port: int
    cores: float
    caller_address: str
    readiness_address: str
    runner_address: str
    heartbeat_s: float
    longest_lease_s: float
    stop_task_s: float
    resend_s: float
    grace_s: float


def load(path: str, role_index: int) -> NodeSettings:
    """Read the file; raise `NodeSettingsError` for the first field that can't be used.

    `role_index` numbers the roles that may share a host, so that their ports differ.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise NodeSettingsError(f"{path}: can't be read: {error}") from error
    return decode(_parse(text), role_index)


def decode(fields: Mapping[str, str], role_index: int) -> NodeSettings:
    """Decode the fields of the file; unknown ones are ignored."""
    read = _Reader(fields)
    ports = read.text("InternalPortRange").split(",")
    return NodeSettings(
        node_id=read.text("NodeName"),
        host_address=read.text("IpAddress"),
        data_centre=read.text("Zone"),
        store_address=read.text("platform.Address"),
        internal_port=read.whole("InternalPortRange", ports[0]) + role_index,
        # CpuShare is a part of a core, Cores how many times as fast that core is.
        cores=read.number("Limits.CpuShare") * read.number("Limits.Cores", 1.0),
        caller_address=fields.get("ListenAddresses.Front", ""),
        readiness_address=fields.get("ListenAddresses.Ready", ""),
        runner_address=fields.get("ListenAddresses.Control", ""),
        heartbeat_s=read.number("HeartbeatMs") / 1000,
        longest_lease_s=read.number("Bounds.MaxHoldMs") / 1000,
        stop_task_s=read.number("Bounds.StopMs") / 1000,
        resend_s=read.number("Bounds.ResendMs", DEFAULT_RESEND_MS) / 1000,
        grace_s=read.number("Bounds.GraceS"),
    )


def _parse(text: str) -> dict[str, str]:
    pairs = (line.partition("=") for line in text.splitlines() if "=" in line)
    return {name.strip(): value.strip() for name, _, value in pairs}


@attrs.frozen
class _Reader:
    fields: Mapping[str, str]

    def text(self, name: str) -> str:
        value = self.fields.get(name, "")
        if not value:
            raise NodeSettingsError(f"{name} is missing, expected a value")
        return value

    def number(self, name: str, default: float | None = None) -> float:
        if default is not None and not self.fields.get(name):
            return default
        value = self.text(name)
        try:
            number = float(value)
        except ValueError as error:
            raise NodeSettingsError(f"{name} is {value!r}, expected a number") from error
        if not 0 < number < float("inf"):
            raise NodeSettingsError(f"{name} is {value!r}, expected a number above 0")
        return number

    def whole(self, name: str, value: str) -> int:
        try:
            return int(value)
        except ValueError as error:
            raise NodeSettingsError(f"{name} is {value!r}, expected a whole number") from error
