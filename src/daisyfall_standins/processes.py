"""Daemons and stand-ins as processes on free loopback ports.

A `Fleet` is a context manager that ends every process it started, paused ones
too. Each process logs to a file in the fleet's temporary directory. It is used
in the main thread, because it handles SIGTERM.
"""

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
# Below the kernel's ephemeral range, so that an outgoing connection never takes a port
# between its choice and the start of the process.
_PORTS = range(11_000, 32_000)
_READY_TIMEOUT_SECONDS = 20.0
_END_TIMEOUT_SECONDS = 5.0
_POLL_SECONDS = 0.05
_LOG_TAIL_LINES = 20
_TERMINATED = 128 + signal.SIGTERM
_CLOCK_TICKS = os.sysconf("SC_CLK_TCK")

# A process-wide record, because a chosen port is unbound until its process listens.
_chosen_ports: set[int] = set()


class ProcessError(Exception):
    """A process ended early or did not become ready; the text holds the end of its log."""


@attrs.frozen
class Usage:
    """Resources of one process since its start."""

    rss_mb: float
    cpu_seconds: float


@attrs.define(eq=False)
class Process:
    """One started process; `url` is its HTTP listener."""

    name: str
    url: str
    log: pathlib.Path
    command: list[str]
    popen: subprocess.Popen
    peer: str = ""  # entry: host:port for agents and other entries
    journal: pathlib.Path | None = None  # runner: file of the tasks that it started

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.popen.pid

    def wait_ready(
        self, timeout_seconds: float = _READY_TIMEOUT_SECONDS, path: str = "/readyz"
    ) -> None:
        """Return when `path` answers 200; raise `ProcessError` at the limit or an early end."""
        limit = time.monotonic() + timeout_seconds
        while time.monotonic() < limit:
            if self.popen.poll() is not None:
                raise ProcessError(
                    f"{self.name} ended with {self.popen.returncode}\n{self.log_tail()}"
                )
            if self.is_ready(path):
                return
            time.sleep(_POLL_SECONDS)
        raise ProcessError(f"{self.name} is not ready after {timeout_seconds} s\n{self.log_tail()}")

    def is_ready(self, path: str = "/readyz") -> bool:
        """Tell whether `path` answers 200 now."""
        try:
            with urllib.request.urlopen(f"{self.url}{path}", timeout=1) as response:
                return response.status == 200
        except OSError:
            return False

    def pause(self) -> None:
        """Stop the process with SIGSTOP."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process continue."""
        self.popen.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """End the process with SIGKILL and wait for its end."""
        self.popen.kill()
        self.popen.wait()

    def terminate(self, timeout_seconds: float = _END_TIMEOUT_SECONDS) -> int:
        """Ask for a graceful end and return the exit status; kill the process at the limit."""
        self.popen.terminate()
        return self.wait_exit(timeout_seconds)

    def wait_exit(self, timeout_seconds: float) -> int:
        """Wait for the end and return the exit status; kill the process at the limit."""
        try:
            return self.popen.wait(timeout_seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return self.popen.returncode

    def usage(self) -> Usage:
        """Return the memory and processor time from /proc."""
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        rss_kb = next(int(row.split()[1]) for row in status.splitlines() if row.startswith("VmRSS"))
        # The command name in parentheses may hold blanks; fields 14 and 15 are the times.
        fields = pathlib.Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return Usage(rss_kb / 1024, ticks / _CLOCK_TICKS)

    def log_tail(self) -> str:
        """Return the last lines of the log."""
        lines = self.log.read_text(errors="replace").splitlines()
        return "\n".join(lines[-_LOG_TAIL_LINES:])


class Fleet:
    """The processes of one run, by name; `with Fleet() as fleet:` ends them all."""

    def __init__(self):
        self.process_by_name: dict[str, Process] = {}
        self.key = os.urandom(16).hex()
        self.operator_token = os.urandom(16).hex()
        self._folder = tempfile.TemporaryDirectory(prefix="daisyfall-")
        self._path = pathlib.Path(self._folder.name)

    def __enter__(self) -> "Fleet":
        # Without a handler, SIGTERM would end this process and leave the others running.
        self._former_handler = signal.signal(signal.SIGTERM, lambda *_: sys.exit(_TERMINATED))
        return self

    def __exit__(self, *_error) -> None:
        self.stop_all()
        signal.signal(signal.SIGTERM, self._former_handler)

    def stop_all(self) -> None:
        """End all processes: SIGTERM to each, SIGKILL to those that remain after the limit."""
        running = [each for each in self.process_by_name.values() if each.popen.poll() is None]
        for process in running:
            # A paused process handles SIGTERM only after SIGCONT.
            process.resume()
            process.popen.terminate()
        limit = time.monotonic() + _END_TIMEOUT_SECONDS
        for process in running:
            process.wait_exit(max(0.0, limit - time.monotonic()))
        self._folder.cleanup()

    def start(self, name: str, command: list[str], url: str, peer: str = "") -> Process:
        """Start `python -m command...` under a unique name without waiting for it."""
        former = self.process_by_name.get(name)
        if former is not None and former.popen.poll() is None:
            raise ProcessError(f"{name} already runs as process {former.pid}")
        log = self._path / f"{name}.log"
        command = [sys.executable, "-m", *command]
        process = Process(name, url, log, command, _spawn(command, log), peer)
        self.process_by_name[name] = process
        return process

    def restart(self, process: Process) -> None:
        """Start a process that has ended again, with the same command and ports."""
        if process.popen.poll() is None:
            raise ProcessError(f"{process.name} still runs as process {process.pid}")
        process.popen = _spawn(process.command, process.log)

    def start_table(self, name: str = "table", port: int = 0, **options) -> Process:
        """Start the table; `options` are those of `daisyfall-standin table`."""
        return self._start_stand_in("table", name, port or free_port(), options)

    def start_object_store(self, name: str = "objects", port: int = 0, **options) -> Process:
        """Start the object store; `options` are those of `daisyfall-standin objects`."""
        return self._start_stand_in("objects", name, port or free_port(), options)

    def start_runner(self, name: str, agent_url: str, port: int = 0, **options) -> Process:
        """Start the runner of one agent; `options` are those of `daisyfall-standin runner`."""
        port = port or free_port()
        journal = self._path / f"{name}.starts"
        options = {"agents": agent_url, "ids": name, "journals": journal, **options}
        process = self._start_stand_in("runner", name, port, options, port_option="ports")
        process.journal = journal
        return process

    def start_daemon(self, name: str, settings: dict) -> Process:
        """Start a daemon; `settings` has the keys of `daisyfall.process._settings.Settings`."""
        path = self._path / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        http_port = settings["http"]["port"]
        peer_port = settings.get("peer", {}).get("port", 0)
        command = ["daisyfall.daemon", "run", str(path)]
        peer = f"{HOST}:{peer_port}" if peer_port else ""
        return self.start(name, command, f"http://{HOST}:{http_port}", peer)

    def wait_ready(self, timeout_seconds: float = _READY_TIMEOUT_SECONDS) -> None:
        """Return when every running process is ready."""
        for process in self.process_by_name.values():
            if process.popen.poll() is None:
                process.wait_ready(timeout_seconds)

    def entry_settings(self, name: str, table: Process, objects: Process, **changes) -> dict:
        """Return the settings of an entry on free ports; `changes` replace whole keys."""
        settings = self._daemon_settings(name, "entry", table, objects)
        settings["peer"] = {"host": HOST, "port": free_port()}
        salt = os.urandom(8).hex()
        settings["operator_tokens"] = [f"{salt}${_lists.hash_token(self.operator_token, salt)}"]
        return settings | changes

    def agent_settings(self, name: str, table: Process, objects: Process, **changes) -> dict:
        """Return the settings of an agent; `changes` must hold `entries`."""
        return self._daemon_settings(name, "agent", table, objects) | changes

    def _daemon_settings(self, name: str, role: str, table: Process, objects: Process) -> dict:
        return {
            "role": role,
            "id": name,
            "data_centre": "dc-1",
            "http": {"host": HOST, "port": free_port()},
            "keys": [self.key],
            "table": {"url": table.url, "objects_url": objects.url},
        }

    def _start_stand_in(
        self, kind: str, name: str, port: int, options: dict, port_option: str = "port"
    ) -> Process:
        command = ["daisyfall_standins.cli", kind, f"--{port_option}={port}"]
        command += [f"--{key}={value}" for key, value in options.items()]
        return self.start(name, command, f"http://{HOST}:{port}")


def _spawn(command: list[str], log: pathlib.Path) -> subprocess.Popen:
    with log.open("ab") as output:
        return subprocess.Popen(command, stdout=output, stderr=subprocess.STDOUT)


def free_port() -> int:
    """Return a loopback port that no process listens on and no earlier call returned."""
    candidates = [port for port in _PORTS if port not in _chosen_ports]
    random.shuffle(candidates)
    for port in candidates:
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        _chosen_ports.add(port)
        return port
    raise ProcessError(f"no free port in {_PORTS}")
