"""Steps for a settings file that changes while its process runs."""

import asyncio
import pathlib
import random
import subprocess
import sys
import tempfile

import pool_adapter_steps
from behave import given, then, when

from daisyfall.platform import _node_process, _node_settings, _store

NODE_SCRIPT = pathlib.Path(__file__).parents[2] / "deploy" / "node.py"
# Runs the script with a program that only tells how SIGHUP is handled.
SHOW_HANDLER = f"""
import runpy, signal, sys, types
platform = types.ModuleType("daisyfall.platform")
platform.node = types.SimpleNamespace(main=lambda: print(signal.getsignal(signal.SIGHUP).name))
sys.modules["daisyfall"] = types.ModuleType("daisyfall")
sys.modules["daisyfall.platform"] = platform
runpy.run_path({str(NODE_SCRIPT)!r})
"""


class FailingStore(_store.Store):
    """Store client whose calls all fail; `urls` are those that were called."""

    def __init__(self, address):
        self.urls = []
        super().__init__(address, None, random.Random(1), lambda _reason: None)

    async def _call(self, *_call, **_arguments):
        self.urls.append(self._url)
        raise _store.StoreError("connection")


def write_file(context, address):
    fields = {**pool_adapter_steps.SETTINGS, "platform.Address": address}
    context.file.write_text("".join(f"{key}={value}\n" for key, value in fields.items()))


@given("a process whose settings file names the store at {address}")
def start_process(context, address):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.file = pathlib.Path(folder.name) / "node.conf"
    write_file(context, address)
    settings = _node_settings.load(str(context.file), 0)
    context.store = FailingStore(settings.store_address)
    context.settings_file = _node_process.SettingsFile(str(context.file), settings, context.store)


@when("the file names the store at {address} and the process is told")
def change_and_tell(context, address):
    write_file(context, address)
    context.settings_file.reload()


@when("the file names no store and the process is told")
def remove_and_tell(context):
    change_and_tell(context, "")


@when("the file names the store at {address} and calls of the store fail for {seconds:g} s")
def change_and_fail(context, address, seconds):
    write_file(context, address)
    call_store(context, seconds)


def call_store(context, seconds):
    async def put():
        try:
            async with asyncio.timeout(seconds):
                await context.store.put("t", "k", b"")
        except TimeoutError:
            pass

    asyncio.run(put())


@then("the process calls the store at {address}")
def check_address(context, address):
    call_store(context, 0.1)
    assert context.store.urls[-1] == f"http://{address}", context.store.urls


@when("the command of the deploy file begins to import the program")
def begin_import(context):
    context.result = subprocess.run(
        [sys.executable, "-c", SHOW_HANDLER], capture_output=True, text=True, check=True, timeout=30
    )


@then("SIGHUP is ignored until it is handled")
def check_ignored(context):
    assert context.result.stdout.strip() == "SIG_IGN", context.result.stdout
