"""Settings file that the platform writes for each host, and its decoding."""

import pathlib
from collections.abc import Mapping

import attrs

# A stopping process ends this long before the platform would kill it.
STOP_MARGIN_S = 0.8
DEFAULT_RESEND_MS = 1300.0
DEFAULT_CONFIGURATION_MS = 2000.0
DEFAULT_EVACUATION_MS = 5000.0
DATA_CENTRE_PREFIX = "Zones."
UNKNOWN_REMOTE_FACTOR = 1.0


class NodeSettingsError(Exception):
    """A required field is missing or invalid; the text names it."""


@attrs.frozen
class NodeSettings:
    """Settings of one process; addresses are `host:port`, times in seconds.

    `caller_address` and `readiness_address` are set on entry hosts. `runner_address`, where
    the agent receives its runner's heartbeats, is set on runner hosts. `cores` is the share of
    a core times the speed of that core. `longest_lease_s` is the longest lease that the runner
    grants, `stop_task_s` the time in which it stops a task, `resend_s` the time after which a
    caller sends a request again, `grace_s` the time that the platform gives a process to stop.
    `configuration_bound_s` and `evacuation_bound_s` are the times within which a confirmed
    configuration or evacuation has to be in force. `data_centres` names those of the deployment. A
    task takes `remote_factor` times as long away from its preferred rack.
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
    configuration_bound_s: float
    evacuation_bound_s: float
    data_centres: tuple[str, ...]
    remote_factor: float = UNKNOWN_REMOTE_FACTOR


def load(path: str, role_index: int) -> NodeSettings:
    """Read the file; raise `NodeSettingsError` for the first invalid field.

    `role_index` is added to the internal port, since processes of several roles may share a host.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise NodeSettingsError(f"{path}: can't be read: {error}") from error
    return decode(_parse(text), role_index)


def decode(fields: Mapping[str, str], role_index: int) -> NodeSettings:
    """Decode the fields of the file; unknown ones are ignored."""
    reader = _FieldReader(fields)
    ports = reader.string("InternalPortRange").split(",")
    return NodeSettings(
        node_id=reader.string("NodeName"),
        host_address=reader.string("IpAddress"),
        data_centre=reader.string("Zone"),
        store_address=reader.string("platform.Address"),
        internal_port=reader.integer("InternalPortRange", ports[0]) + role_index,
        # CpuShare is a fraction of a core, Cores the speed of that core.
        cores=reader.number("Limits.CpuShare") * reader.number("Limits.Cores", 1.0),
        caller_address=fields.get("ListenAddresses.Front", ""),
        readiness_address=fields.get("ListenAddresses.Ready", ""),
        runner_address=fields.get("ListenAddresses.Control", ""),
        heartbeat_s=reader.number("HeartbeatMs") / 1000,
        longest_lease_s=reader.number("Bounds.MaxHoldMs") / 1000,
        stop_task_s=reader.number("Bounds.StopMs") / 1000,
        resend_s=reader.number("Bounds.ResendMs", DEFAULT_RESEND_MS) / 1000,
        grace_s=reader.number("Bounds.GraceS"),
        configuration_bound_s=reader.number("Bounds.ConfigApplyMs", DEFAULT_CONFIGURATION_MS)
        / 1000,
        evacuation_bound_s=reader.number("Bounds.EvacuationMs", DEFAULT_EVACUATION_MS) / 1000,
        data_centres=tuple(
            name.removeprefix(DATA_CENTRE_PREFIX)
            for name in fields
            if name.startswith(DATA_CENTRE_PREFIX)
        ),
        remote_factor=max(
            reader.number("Bounds.RemoteFactor", UNKNOWN_REMOTE_FACTOR), UNKNOWN_REMOTE_FACTOR
        ),
    )


def _parse(text: str) -> dict[str, str]:
    pairs = (line.partition("=") for line in text.splitlines() if "=" in line)
    return {name.strip(): value.strip() for name, _, value in pairs}


@attrs.frozen
class _FieldReader:
    """Typed access to the fields, which are all strings."""

    fields: Mapping[str, str]

    def string(self, name: str) -> str:
        value = self.fields.get(name, "")
        if not value:
            raise NodeSettingsError(f"{name} is missing, expected a value")
        return value

    def number(self, name: str, default: float | None = None) -> float:
        if default is not None and not self.fields.get(name):
            return default
        value = self.string(name)
        try:
            number = float(value)
        except ValueError as error:
            raise NodeSettingsError(f"{name} is {value!r}, expected a number") from error
        if not 0 < number < float("inf"):
            raise NodeSettingsError(f"{name} is {value!r}, expected a number above 0")
        return number

    def integer(self, name: str, value: str) -> int:
        try:
            return int(value)
        except ValueError as error:
            raise NodeSettingsError(f"{name} is {value!r}, expected a whole number") from error
