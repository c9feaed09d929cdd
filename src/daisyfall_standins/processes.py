"""Starts and stops daemons and stand-ins as child processes on free loopback ports.

A `Fleet` is a context manager that stops every process it started, paused ones
too. Each process logs to a file in the fleet's temporary directory. A fleet must
be used in the main thread, because it installs a SIGTERM handler.
"""

import fcntl
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request

import attrs
import yaml

from daisyfall.version import _lists

HOST = "127.0.0.1"
# Below the kernel's ephemeral range, so that no outgoing connection can take a port after it
# was chosen and before the process listens on it.
_PORT_RANGE = range(11_000, 32_000)
_READY_TIMEOUT_SECONDS = 20.0
_EXIT_TIMEOUT_SECONDS = 5.0
_POLL_INTERVAL_SECONDS = 0.05
_LOG_TAIL_LINES = 20
_SIGTERM_EXIT_STATUS = 128 + signal.SIGTERM
_CLOCK_TICKS = os.sysconf("SC_CLK_TCK")

# A chosen port isn't bound until its process listens, so a bind probe alone could return it twice,
# to this process or to another test run. The files are locked for as long as this process lives.
_RESERVATIONS = pathlib.Path(tempfile.gettempdir()) / "daisyfall-ports"
_reservation_by_port: dict[int, object] = {}


class ProcessError(Exception):
    """A process exited early or did not become ready; the message includes the log tail."""


@attrs.frozen
class Usage:
    """Resident memory of a process, and its processor time since its start."""

    rss_mb: float
    cpu_seconds: float


@attrs.define(eq=False)
class Process:
    """One started process; `url` is the base URL of its HTTP listener."""

    name: str
    url: str
    log: pathlib.Path
    command: list[str]
    popen: subprocess.Popen
    peer: str = ""  # entries only: host:port for agents and other entries
    journal: pathlib.Path | None = None  # runners only: file with the tasks that it started

    @property
    def pid(self) -> int:
        """Return the process id; it changes with a restart."""
        return self.popen.pid

    def wait_ready(
        self, timeout_seconds: float = _READY_TIMEOUT_SECONDS, path: str = "/readyz"
    ) -> None:
        """Wait until `path` returns 200; raise `ProcessError` on a timeout or an early exit."""
        deadline = time.monotonic() + timeout_seconds
        while time.monotonic() < deadline:
            if self.popen.poll() is not None:
                raise ProcessError(
                    f"{self.name} ended with {self.popen.returncode}\n{self.log_tail()}"
                )
            if self.is_ready(path):
                return
            time.sleep(_POLL_INTERVAL_SECONDS)
        raise ProcessError(f"{self.name} is not ready after {timeout_seconds} s\n{self.log_tail()}")

    def is_ready(self, path: str = "/readyz") -> bool:
        """Tell whether `path` returns 200."""
        try:
            with urllib.request.urlopen(f"{self.url}{path}", timeout=1) as response:
                return response.status == 200
        except OSError:
            return False

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process with SIGCONT."""
        self.popen.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Send SIGKILL and wait for the exit."""
        self.popen.kill()
        self.popen.wait()

    def terminate(self, timeout_seconds: float = _EXIT_TIMEOUT_SECONDS) -> int:
        """Send SIGTERM and return the exit status; kill the process after the timeout."""
        self.popen.terminate()
        return self.wait_exit(timeout_seconds)

    def wait_exit(self, timeout_seconds: float) -> int:
        """Wait for the exit and return its status; kill the process after the timeout."""
        try:
            return self.popen.wait(timeout_seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return self.popen.returncode

    def usage(self) -> Usage:
        """Read the resource usage from /proc."""
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        rss_kb = next(int(row.split()[1]) for row in status.splitlines() if row.startswith("VmRSS"))
        # The command name, in parentheses, may contain spaces, so fields are counted from its end.
        # Fields 14 (utime) and 15 (stime) of the line have the indices 11 and 12 here.
        fields = pathlib.Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return Usage(rss_kb / 1024, ticks / _CLOCK_TICKS)

    def log_tail(self) -> str:
        """Return the last lines of the log."""
        lines = self.log.read_text(errors="replace").splitlines()
        return "\n".join(lines[-_LOG_TAIL_LINES:])


class Fleet:
    """The processes of one run, by name; `with Fleet() as fleet:` stops them all at the end."""

    def __init__(self):
        self.process_by_name: dict[str, Process] = {}
        self.key = os.urandom(16).hex()
        self.operator_token = os.urandom(16).hex()
        self._temp_dir = tempfile.TemporaryDirectory(prefix="daisyfall-")
        self._temp_path = pathlib.Path(self._temp_dir.name)

    def __enter__(self) -> "Fleet":
        # The default action of SIGTERM would end this process and leave its children running.
        self._previous_handler = signal.signal(
            signal.SIGTERM, lambda *_: sys.exit(_SIGTERM_EXIT_STATUS)
        )
        return self

    def __exit__(self, *_error) -> None:
        self.stop_all()
        signal.signal(signal.SIGTERM, self._previous_handler)

    def stop_all(self) -> None:
        """Stop all processes: SIGTERM to each, SIGKILL to those still running after the timeout."""
        live_processes = [
            each for each in self.process_by_name.values() if each.popen.poll() is None
        ]
        for process in live_processes:
            # A paused process handles SIGTERM only after SIGCONT.
            process.resume()
            process.popen.terminate()
        deadline = time.monotonic() + _EXIT_TIMEOUT_SECONDS
        for process in live_processes:
            process.wait_exit(max(0.0, deadline - time.monotonic()))
        self._temp_dir.cleanup()

    def start(self, name: str, command: list[str], url: str, peer: str = "") -> Process:
        """Start `python -m command...` under a unique name; don't wait until it is ready."""
        existing = self.process_by_name.get(name)
        if existing is not None and existing.popen.poll() is None:
            raise ProcessError(f"{name} already runs as process {existing.pid}")
        log = self._temp_path / f"{name}.log"
        command = [sys.executable, "-m", *command]
        process = Process(name, url, log, command, _spawn(command, log), peer)
        self.process_by_name[name] = process
        return process

    def restart(self, process: Process) -> None:
        """Start an exited process again, with the same command and ports."""
        if process.popen.poll() is None:
            raise ProcessError(f"{process.name} still runs as process {process.pid}")
        process.popen = _spawn(process.command, process.log)

    def start_table(self, name: str = "table", port: int = 0, **flags) -> Process:
        """Start the table; `flags` are those of `daisyfall-standin table`."""
        return self._start_stand_in("table", name, port or free_port(), flags)

    def start_object_store(self, name: str = "objects", port: int = 0, **flags) -> Process:
        """Start the object store; `flags` are those of `daisyfall-standin objects`."""
        return self._start_stand_in("objects", name, port or free_port(), flags)

    def start_runner(self, name: str, agent_url: str, port: int = 0, **flags) -> Process:
        """Start the runner of one agent; `flags` are those of `daisyfall-standin runner`."""
        port = port or free_port()
        journal = self._temp_path / f"{name}.starts"
        flags = {"agents": agent_url, "ids": name, "journals": journal, **flags}
        process = self._start_stand_in("runner", name, port, flags, port_flag="ports")
        process.journal = journal
        return process

    def start_daemon(self, name: str, settings: dict) -> Process:
        """Start a daemon; `settings` has the keys of `daisyfall.process._settings.Settings`."""
        path = self._temp_path / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        http_port = settings["http"]["port"]
        peer_port = settings.get("peer", {}).get("port", 0)
        command = ["daisyfall.daemon", "run", str(path)]
        peer = f"{HOST}:{peer_port}" if peer_port else ""
        return self.start(name, command, f"http://{HOST}:{http_port}", peer)

    def wait_ready(self, timeout_seconds: float = _READY_TIMEOUT_SECONDS) -> None:
        """Wait until every running process is ready."""
        for process in self.process_by_name.values():
            if process.popen.poll() is None:
                process.wait_ready(timeout_seconds)

    def entry_settings(self, name: str, table: Process, object_store: Process, **changes) -> dict:
        """Return the settings of an entry on free ports; `changes` override top-level keys."""
        settings = self._daemon_settings(name, "entry", table, object_store)
        settings["peer"] = {"host": HOST, "port": free_port()}
        salt = os.urandom(8).hex()
        settings["operator_tokens"] = [f"{salt}${_lists.hash_token(self.operator_token, salt)}"]
        return settings | changes

    def agent_settings(self, name: str, table: Process, object_store: Process, **changes) -> dict:
        """Return the settings of an agent; `changes` override keys and must have `entries`."""
        return self._daemon_settings(name, "agent", table, object_store) | changes

    def _daemon_settings(self, name: str, role: str, table: Process, object_store: Process) -> dict:
        return {
            "role": role,
            "id": name,
            "data_centre": "dc-1",
            "http": {"host": HOST, "port": free_port()},
            "keys": [self.key],
            "table": {"url": table.url, "objects_url": object_store.url},
        }

    def _start_stand_in(
        self, kind: str, name: str, port: int, flags: dict, port_flag: str = "port"
    ) -> Process:
        command = ["daisyfall_standins.cli", kind, f"--{port_flag}={port}"]
        command += [f"--{key}={value}" for key, value in flags.items()]
        return self.start(name, command, f"http://{HOST}:{port}")


def _spawn(command: list[str], log: pathlib.Path) -> subprocess.Popen:
    with log.open("ab") as output:
        return subprocess.Popen(command, stdout=output, stderr=subprocess.STDOUT)


def free_port() -> int:
    """Return a loopback port that can be bound and that no other call returned, in any process."""
    candidates = [port for port in _PORT_RANGE if port not in _reservation_by_port]
    random.shuffle(candidates)
    for port in candidates:
        if _can_bind(port) and _reserve(port):
            return port
    raise ProcessError(f"no free port in {_PORT_RANGE}")


def _can_bind(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


def _reserve(port: int) -> bool:
    """Lock the port's file; return whether no other process has it locked."""
    _RESERVATIONS.mkdir(exist_ok=True)
    file = (_RESERVATIONS / str(port)).open("w")
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        file.close()
        return False
    _reservation_by_port[port] = file
    return True
