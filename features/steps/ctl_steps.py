"""Steps on the command lines of daisyfallctl and daisyfalld, against a fake entry."""

import contextlib
import io
import json
import os
import pathlib
import shlex
import subprocess
import sys
import tempfile
from unittest import mock

import documents
import fake_entry
import yaml
from behave import given, then, when

from daisyfall import _command_line, _ctl_admin, _ctl_jobs, _ctl_lists, _ctl_output, ctl, daemon
from daisyfall.version import _lists

# Short waits keep scenarios fast; the progress interval must stay below the poll interval.
SHORT_WAITS = (
    (_ctl_lists, "READ_BACK_SECONDS", 0.005),
    (_ctl_lists, "POLL_SECONDS", 0.02),
    (_ctl_admin, "POLL_SECONDS", 0.02),
    (_ctl_output, "PROGRESS_SECONDS", 0.005),
    (_ctl_jobs, "BACKOFF_SECONDS", 0.001),
)


def run_program(context, program: str, line: str) -> None:
    commands = ctl.COMMANDS if program == "daisyfallctl" else daemon.COMMANDS
    words = shlex.split(line)
    if program == "daisyfalld":
        words = daemon.merge_set_options(words)
    output, messages = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(messages):
        context.status = _command_line.execute(program, commands, words)
    context.output, context.messages = output.getvalue(), messages.getvalue()


def write_files(context) -> dict[str, str]:
    """Write edited example lists and a job to files; return the path of each by name."""
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    plans, allowances = (
        yaml.safe_load(pathlib.Path(f"{fake_entry.EXAMPLE}/{name}.yaml").read_text())
        for name in ("plans", "allowances")
    )
    allowances["plans"]["trial"]["slots"] = 9
    job = {"deadline_ms": 5000, "tasks": [{"kind": "stock", "payload": {}, "run_ms": 50}] * 2}
    files = {"plans": plans, "allowances": allowances, "job": job}
    for name, document in files.items():
        (pathlib.Path(folder.name) / name).write_text(yaml.safe_dump(document))
    return {name: str(pathlib.Path(folder.name) / name) for name in files}


@when('daisyfallctl tests run "{program}" with "{line}"')
def run_line(context, program, line):
    run_program(context, program, line)


@when('daisyfallctl tests run the process "{command}"')
def run_process(context, command):
    program, *words = command.split()
    path = pathlib.Path(sys.executable).parent / program
    finished = subprocess.run([path, *words], capture_output=True, check=False, timeout=60)
    context.status = finished.returncode
    context.messages = finished.stderr.decode()


@given("a daisyfallctl entry")
def start_entry(context):
    context.entry = fake_entry.FakeEntry()
    context.add_cleanup(context.entry.close)
    context.token = fake_entry.TOKEN


@given('the daisyfallctl token is "{token}"')
def set_token(context, token):
    context.token = token


@given('the daisyfallctl entry has the fault "{fault}"')
def set_fault(context, fault):
    context.entry.fault = fault


@given('the daisyfallctl entry fails jobs with "{kind}"')
@given('the daisyfallctl entry fails jobs with ""')
def set_failure(context, kind=""):
    context.entry.failure = fake_entry.errors.Kind(kind) if kind else None


@given("the daisyfallctl entry reports the previous version in {count:d} status reads")
def set_stale_reads(context, count):
    context.entry.late_reads = count


@when('daisyfallctl runs "{line}"')
def run_against_entry(context, line):
    variables = {"DAISYFALL_TOKEN": getattr(context, "token", "")}
    if hasattr(context, "entry"):
        variables["DAISYFALL_URL"] = context.entry.url
    for name, path in write_files(context).items():
        line = line.replace(f"${name}", path)
    with contextlib.ExitStack() as stack:
        stack.enter_context(mock.patch.dict(os.environ, variables))
        for module, name, value in SHORT_WAITS:
            stack.enter_context(mock.patch.object(module, name, value))
        run_program(context, "daisyfallctl", line)


@when("daisyfallctl tests run the client in docs/callers.md")
def run_client(context):
    document = (documents.ROOT / "docs" / "callers.md").read_text()
    block = document.partition("```python\n")[2].partition("```")[0]
    assert len([line for line in block.splitlines() if line]) <= 24, "the client has grown"
    names = {}
    exec(compile(block, "docs/callers.md", "exec"), names)
    task = {"kind": "stock", "payload": {}, "run_ms": 50}
    with mock.patch.object(names["random"], "uniform", lambda low, high: low):
        try:
            context.end = str(names["run_job"](context.entry.url, context.token, [task]))
        except RuntimeError as error:
            context.end = str(error)


@then('the daisyfallctl client ends with "{text}"')
def check_client(context, text):
    assert text in context.end, context.end


@then("daisyfallctl sent the same job id each time")
def check_ids(context):
    assert len(set(context.entry.job_ids)) == 1, context.entry.job_ids


@then("the daisyfallctl exit status is {status:d}")
def check_status(context, status):
    assert context.status == status, (context.status, context.messages)


@then('the daisyfallctl message is one line with "{text}"')
def check_line(context, text):
    assert context.messages.count("\n") == 1, context.messages
    assert text in context.messages, context.messages


@then('the daisyfallctl output contains "{text}"')
@then('the daisyfallctl output contains ""')
def check_output(context, text=""):
    assert text in context.output, context.output


@then('daisyfallctl prints the message "{text}"')
def check_notes(context, text):
    assert text in context.messages, context.messages


@then('the daisyfallctl JSON has error kind "{kind}"')
def check_json(context, kind):
    assert json.loads(context.output)["error"]["kind"] == kind, context.output


@then("daisyfallctl sent no write")
def check_no_write(context):
    writes = [x for x in context.entry.requests if not x.startswith("GET ")]
    assert not writes, writes


@then('daisyfallctl sent "{request}" once')
def check_once(context, request):
    check_times(context, request, 1)


@then('daisyfallctl sent "{request}" {count:d} times')
def check_times(context, request, count):
    assert context.entry.count(request) == count, context.entry.requests


@then("the daisyfallctl token is accepted with its salt and hash")
def check_generated_token(context):
    made = json.loads(context.output)
    buyer = _lists.Buyer(made["buyer"], "plan", made["salt"], made["token_hash"])
    lists = _lists.Lists(1, "", {buyer.name: buyer}, {})
    assert _lists.verify_token(lists, made["token"]) is buyer
    assert _lists.verify_token(lists, f"{made['token']}x") is None


@then("the daisyfallctl exit statuses in docs/OPERATIONS.md match the code")
def check_statuses(context):
    found = documents.read("docs/OPERATIONS.md", ["status", "name"])
    expected = [(str(each.value), each.name) for each in _ctl_output.ExitStatus]
    documents.compare(found, expected)


def walk(commands: dict, path: str):
    for word, inner in commands.items():
        if callable(inner):
            yield (f"{path} {word}",)
        else:
            yield from walk(inner, f"{path} {word}")


@then("the daisyfallctl commands in docs/OPERATIONS.md match the code")
def check_commands(context):
    found = documents.read("docs/OPERATIONS.md", ["command"])
    expected = [*walk(ctl.COMMANDS, "daisyfallctl"), *walk(daemon.COMMANDS, "daisyfalld")]
    documents.compare(found, expected)
