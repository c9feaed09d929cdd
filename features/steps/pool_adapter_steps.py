"""Steps for the platform adapter."""

import asyncio
import contextlib
import json
import pathlib
import random
import re
import subprocess
import sys
import tempfile

from behave import given, then, when

from daisyfall.platform import _documents, _node_settings, _runner, _store
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


@then("no module outside platform/ contains a field, call or header name of the platform")
def check_names(_context):
    found = [
        f"{path.name}: {match.group(0)}"
        for path in SOURCE.rglob("*.py")
        if "platform" not in path.parts
        for match in PLATFORM_NAMES.finditer(path.read_text())
    ]
    assert not found, found


@then("no module of platform/ except its composition root imports a policy")
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


@when("an entry is started with that file")
def start_entry(context):
    start(context, context.file)


@when("an entry is started with a missing file")
def start_with_missing_file(context):
    start(context, "missing.conf")


@then('it exits with status 2 and one line that contains "{text}"')
def check_exit(context, text):
    lines = context.result.stderr.strip().splitlines()
    assert context.result.returncode == 2, context.result
    assert len(lines) == 1 and text in lines[0], lines


@then("its settings have {cores:g} cores and port {port:d}")
def check_decoded(context, cores, port):
    settings = _node_settings.load(str(context.file), 0)
    assert (round(settings.cores, 3), settings.internal_port) == (cores, port), settings


@then("the data centres of the deployment are {names}")
def check_data_centres(context, names):
    settings = _node_settings.load(str(context.file), 0)
    assert settings.data_centres == tuple(names.split()), settings


@when("a runner's heartbeat with {change} is decoded")
def decode_heartbeat(context, change):
    body = dict(HEARTBEAT)
    if change != "nothing":
        name, _, value = change.partition("=")
        body[name] = json.loads(value)
    context.heartbeat = _runner.decode_heartbeat("i-1", body)


@then("the heartbeat is {verdict:w}")
def check_heartbeat(context, verdict):
    assert (context.heartbeat is not None) == (verdict == "used"), context.heartbeat


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


@then('the document is rejected with "{text}"')
def check_rejected(context, text):
    assert text in context.error, context.error


@when("the adapter decodes routes /a/ and /a/b/ of one host")
def decode_routes(context):
    routes = [{**ROUTE, "PathPrefix": prefix} for prefix in ("/a/", "/a/b/")]
    document = json.dumps({"Version": 1, "Routes": routes, "Limits": {}})
    context.configuration = _documents.decode_configuration(document.encode())


@then("the route of /a/b/0123 is /a/b/, that of /a/0123 is /a/, and /c/ has none")
def check_routes(context):
    find = context.configuration.find
    assert find("h", "/a/b/0123").prefix == "/a/b/"
    assert find("h", "/a/0123").prefix == "/a/"
    assert find("h", "/c/") is None
    assert find("other", "/a/0123") is None


VALID_ANSWER = {"rows": [{"Key": "a", "Value": "Yg==", "VersionNumber": 2}], "VersionNumber": 2}


class ScriptedStore(_store.Store):
    """Store client whose calls return given answers, the last one again and again."""

    def __init__(self, answers):
        self.errors = []
        self.answers = answers
        super().__init__("127.0.0.1:1", None, random.Random(1), self.errors.append)

    async def _call(self, *_call, **_arguments):
        await asyncio.sleep(0)
        return self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]


def watch(context, answers, on_rows):
    async def run():
        context.store = ScriptedStore(answers)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.5):
                await context.store.watch("t", _store.WatchTiming(0.0, pause_s=0.01), on_rows)

    asyncio.run(run())


@given("a watch of a table of the store")
def make_watch(context):
    context.rows = []


@when("the store answers with {answer} and then with a valid row")
def answer_badly(context, answer):
    watch(context, [json.loads(answer), VALID_ANSWER], lambda rows, _all: context.rows.extend(rows))


@when("the rows of the first answer can't be applied")
def apply_badly(context):
    calls = []

    def on_rows(rows, _is_all):
        calls.append(rows)
        if len(calls) == 1:
            raise RuntimeError("a mistake in the handler")
        context.rows.extend(rows)

    watch(context, [VALID_ANSWER], on_rows)


@then("the watch passes on the valid row and counts an error")
def check_watch(context):
    assert _store.Row("a", b"b", 2) in context.rows, context.rows
    assert len(context.store.errors) == 1, context.store.errors


COUNT_OBJECTS = """
import gc
from daisyfall.platform import _{role}_node, node
before = len(gc.get_objects())
node.exempt_imports_from_collection()
print(before, len(gc.get_objects()), gc.isenabled())
"""


@when("{role} has imported its modules and exempted them from collection")
def count_objects(context, role):
    command = [sys.executable, "-c", COUNT_OBJECTS.format(role=role)]
    output = subprocess.run(command, capture_output=True, text=True, check=True).stdout.split()
    context.objects = [int(count) for count in output[:2]]
    assert output[2] == "True"


@then("less than a tenth of its objects are left to collect")
def check_objects(context):
    before, after = context.objects
    assert before > 10_000 and after < before / 10, context.objects
