"""Steps on the adapter to the users' platform."""

import json
import pathlib
import re
import subprocess
import sys
import tempfile

from behave import given, then, when

from daisyfall.platform import _documents, _node_settings, _runner
from daisyfall.version import _routes

SOURCE = pathlib.Path(__file__).parents[2] / "src" / "daisyfall"
PLATFORM_NAMES = re.compile(
    r"rows-(tx|get|feed)|run-(start|stop)|X-Expected-Instance|X-Deadline-Remaining|DAISYFALL_NODE"
    r"|\b(FencingToken|AckCursor|BestEffort|DeadlineMs|TargetLatencyMs|MaxAttempts|EstimatedMs"
    r"|PathPrefix|AntiAffinity|LongRunning|HeartbeatMs|VersionNumber|Specification)\b"
)
SETTINGS = {
    "NodeName": "front-1",
    "IpAddress": "127.0.0.1",
    "Zone": "z1",
    "ListenAddresses.Front": "127.0.0.1:8161",
    "ListenAddresses.Ready": "127.0.0.1:8167",
    "InternalPortRange": "7720,7735",
    "Limits.CpuShare": "0.535",
    "Limits.Cores": "2",
    "HeartbeatMs": "1500",
    "Bounds.MaxHoldMs": "1000",
    "Bounds.StopMs": "50",
    "Bounds.GraceS": "6",
    "Bounds.ResendMs": "1300",
    "platform.Address": "127.0.0.1:1",
}
HEARTBEAT = {
    "Service": "p",
    "Address": "10.0.0.1:80",
    "Zone": "z1",
    "State": "ready",
    "Capacity": {"Cpu": 16000, "MemMb": 100, "Gpu": 0},
    "Labels": ["a", "r1"],
    "Sequence": 4,
    "born": 17,
}
ROUTE = {"Name": "r", "Host": "h", "Service": "p", "MaxAttempts": 1, "Stretch": 2}


@then("no module outside platform/ names a field, a call or a header of the platform")
def check_names(_context):
    found = [
        f"{path.name}: {match.group(0)}"
        for path in SOURCE.rglob("*.py")
        if "platform" not in path.parts
        for match in PLATFORM_NAMES.finditer(path.read_text())
    ]
    assert not found, found


@then("no module of platform/ but its composition root imports a decision")
def check_imports(_context):
    found = [
        path.name
        for path in (SOURCE / "platform").glob("*.py")
        if path.name != "node.py" and re.search(r"^from daisyfall.policy", path.read_text(), re.M)
    ]
    assert not found, found


@given("the settings file of a node with {change}")
def write_settings(context, change):
    name, _, value = change.partition("=")
    fields = {**SETTINGS, name: value}
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.file = pathlib.Path(folder.name) / "node.conf"
    context.file.write_text("".join(f"{key}={each}\n" for key, each in fields.items()))


def start(context, file):
    command = [sys.executable, "-m", "daisyfall.platform.node", "entry", str(file)]
    context.result = subprocess.run(
        command, capture_output=True, text=True, timeout=30, check=False
    )


@when("an entry is started with it")
def start_entry(context):
    start(context, context.file)


@when("an entry is started with a file that isn't there")
def start_without(context):
    start(context, "missing.conf")


@then('it ends with status 2 and one line with "{text}"')
def check_end(context, text):
    lines = context.result.stderr.strip().splitlines()
    assert context.result.returncode == 2, context.result
    assert len(lines) == 1 and text in lines[0], lines


@then("it is decoded with {cores:g} cores and port {port:d}")
def check_decoded(context, cores, port):
    settings = _node_settings.load(str(context.file), 0)
    assert (round(settings.cores, 3), settings.internal_port) == (cores, port), settings


@when("a heartbeat with {change} is decoded")
def decode_heartbeat(context, change):
    body = dict(HEARTBEAT)
    if change != "nothing":
        name, _, value = change.partition("=")
        body[name] = json.loads(value)
    context.report = _runner.decode_heartbeat("i-1", body)


@then("it is {verdict:w}")
def check_heartbeat(context, verdict):
    assert (context.report is not None) == (verdict == "used"), context.report


@when("the adapter decodes the {kind:w} {document}")
def decode_document(context, kind, document):
    context.error = ""
    route = _routes.Route("r", "h", "/", "p", 0, 1, 1.0, 0.0, 0.0)
    try:
        if kind == "configuration":
            _documents.decode_configuration(document.encode())
        else:
            _documents.decode_submission(document.encode(), "0123456789abcdef", route, 1.0)
    except _documents.DocumentError as error:
        context.error = str(error)


@then('it is refused with "{text}"')
def check_refused(context, text):
    assert text in context.error, context.error


@when("the adapter decodes routes /a/ and /a/b/ of one host")
def decode_routes(context):
    routes = [{**ROUTE, "PathPrefix": prefix} for prefix in ("/a/", "/a/b/")]
    document = json.dumps({"Version": 1, "Routes": routes, "Limits": {}})
    context.configuration = _documents.decode_configuration(document.encode())


@then("a request for /a/b/0123 goes to /a/b/, one for /a/0123 to /a/, and one for /c/ nowhere")
def check_routes(context):
    find = context.configuration.find
    assert find("h", "/a/b/0123").prefix == "/a/b/"
    assert find("h", "/a/0123").prefix == "/a/"
    assert find("h", "/c/") is None
    assert find("other", "/a/0123") is None
