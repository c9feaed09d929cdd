"""Starts and controls a local deployment: platform stand-ins, entries, agents and runners."""

import collections
import json
import os
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from typing import Any

import attrs
from prometheus_client import parser

from daisyfall import _ids
from daisyfall.version import _lists
from daisyfall_standins import _workload, processes

_CALL_TIMEOUT_SECONDS = 10.0
_WAIT_SECONDS = 20.0
_POLL_SECONDS = 0.05
# Limits that a load generated on one machine never reaches.
_UNLIMITED_ALLOWANCE = {
    "starts_per_second": 100_000,
    "tasks_in_flight": 100_000,
    "slots": 10_000,
    "accelerators": 0,
    "largest_job_tasks": 1900,
    "longest_deadline_ms": 300_000,
    "priority": 5,
}


class ClusterError(Exception):
    """An operator request failed; the message holds the status and the response body."""


@attrs.frozen
class ListsDocument:
    """The plans and allowances lists, in the format of `PUT /v1/lists`."""

    plans: dict
    allowances: dict


@attrs.frozen
class StartCounts:
    """Number of task starts, by task id and by token, over all runners."""

    count_by_id: dict[str, int]
    count_by_token: dict[str, int]

    @property
    def total(self) -> int:
        """Return the total number of starts."""
        return sum(self.count_by_id.values())

    @property
    def duplicate_ids(self) -> list[str]:
        """Return the task ids and tokens that were started more than once."""
        counts = [*self.count_by_id.items(), *self.count_by_token.items()]
        return sorted({key for key, count in counts if count > 1})


@attrs.define
class Cluster:
    """The processes of a deployment; runner n is attached to agent n."""

    fleet: processes.Fleet
    table: processes.Process
    objects: processes.Process
    entries: list[processes.Process] = attrs.Factory(list)
    agents: list[processes.Process] = attrs.Factory(list)
    runners: list[processes.Process] = attrs.Factory(list)

    @property
    def daemons(self) -> list[processes.Process]:
        """Return all entry and agent processes."""
        return [*self.entries, *self.agents]

    def add_entry(self, **overrides) -> processes.Process:
        """Start another entry; `overrides` replace top-level keys of its settings."""
        name = f"entry-{len(self.entries) + 1}"
        settings = self.fleet.entry_settings(name, self.table, self.objects, **overrides)
        self.entries.append(self.fleet.start_daemon(name, settings))
        return self.entries[-1]

    def add_agent(self, runner_options: dict | None = None, **overrides) -> processes.Process:
        """Start another agent and its runner; runner kind "null" needs no runner process."""
        number = len(self.agents) + 1
        overrides = {"entries": [entry.peer for entry in self.entries], **overrides}
        name = f"agent-{number}"
        settings = self.fleet.agent_settings(name, self.table, self.objects, **overrides)
        agent = self.fleet.start_daemon(name, settings)
        self.agents.append(agent)
        if settings.get("runner", {}).get("kind") != "null":
            options = runner_options or {}
            self.runners.append(self.fleet.start_runner(f"runner-{number}", agent.url, **options))
        return agent

    def apply_lists(self, lists: ListsDocument) -> int:
        """Replace both lists through the first entry; return the version when it is in force."""
        url = f"{self.entries[0].url}/v1/lists"
        status, current = self.call("GET", url)
        base_version = current["version"] if status == 200 else 0
        status, answer = self.call("PUT", url, {"base_version": base_version} | attrs.asdict(lists))
        if status != 200:
            raise ClusterError(f"PUT {url}: status {status}, {answer}")
        version = answer["version"]
        self._wait_entries("lists", lambda answer: answer.get("version", 0) >= version)
        return version

    def wait_upstreams_ready(self, count: int) -> None:
        """Wait until every running entry reports at least `count` ready upstreams."""

        def count_ready(answer: dict) -> int:
            return sum(each["state"] == "ready" for each in answer.get("upstreams", []))

        self._wait_entries("upstreams", lambda answer: count_ready(answer) >= count)

    def wait_shards_balanced(self) -> None:
        """Wait until each shard is owned by the running entry that wins its rendezvous hash.

        A new entry takes over its shards some seconds after its start, and jobs move between
        entries with them. Measurements therefore wait until shard ownership is stable.
        """
        running_names = [entry.name for entry in self.entries if entry.popen.poll() is None]

        def is_balanced(answer: dict) -> bool:
            owners = answer.get("owners", [])
            return bool(owners) and all(
                each["owner"] == _ids.rendezvous_winner(str(each["shard"]), running_names)
                and each["state"] in ("owned", "active")
                for each in owners
            )

        self._wait_entries("owners", is_balanced)

    def _wait_entries(self, resource: str, condition: Callable[[dict], bool]) -> None:
        deadline = time.monotonic() + _WAIT_SECONDS
        for entry in self.entries:
            while entry.popen.poll() is None:
                _, answer = self.call("GET", f"{entry.url}/v1/{resource}")
                if condition(answer):
                    break
                if time.monotonic() > deadline:
                    raise ClusterError(
                        f"{entry.name}: {resource} after {_WAIT_SECONDS} s: {answer}"
                    )
                time.sleep(_POLL_SECONDS)

    def call(self, method: str, url: str, body: Any = None) -> tuple[int, dict]:
        """Send a request with the operator token; return the status and the JSON body."""
        return call(method, url, body, self.fleet.operator_token)

    def starts(self) -> StartCounts:
        """Return the starts in the journals of all runners, including killed ones."""
        journal_rows = [
            json.loads(line)
            for runner in self.runners
            if runner.journal.exists()
            for line in runner.journal.read_text().splitlines()
        ]
        by_id = collections.Counter(task_id for task_id, _ in journal_rows)
        by_token = collections.Counter(token for _, token in journal_rows if token)
        return StartCounts(by_id, by_token)

    def sum_metric(self, name: str, selected: list[processes.Process] | None = None) -> float:
        """Return the sum of a metric over all label sets and all running daemons.

        `selected` limits it to some processes.
        """
        running = [each for each in selected or self.daemons if each.popen.poll() is None]
        return sum(sum(read_metric(each, name).values()) for each in running)


def start(
    fleet: processes.Fleet,
    lists: ListsDocument,
    *,
    entries: int = 2,
    agents: int = 3,
    runner_options: dict | None = None,
    entry_overrides: dict | None = None,
    agent_overrides: dict | None = None,
) -> Cluster:
    """Start a deployment; return when the lists are in force and all processes are ready."""
    cluster = Cluster(fleet, fleet.start_table(), fleet.start_object_store())
    fleet.wait_ready()
    for _ in range(entries):
        cluster.add_entry(**(entry_overrides or {}))
    # Without lists an entry serves operator requests but reports not ready, so wait for
    # /healthz only.
    for entry in cluster.entries:
        entry.wait_ready(path="/healthz")
    cluster.apply_lists(lists)
    for _ in range(agents):
        cluster.add_agent(runner_options, **(agent_overrides or {}))
    fleet.wait_ready()
    cluster.wait_upstreams_ready(agents)
    return cluster


def build_lists(buyers: list[_workload.Buyer], **overrides) -> ListsDocument:
    """Return lists with one plan for all buyers; `overrides` replace keys of its allowance."""
    row_by_buyer = {}
    for buyer in buyers:
        salt = os.urandom(8).hex()
        token_hash = _lists.hash_token(buyer.secret, salt)
        row_by_buyer[buyer.name] = {"plan": "all", "salt": salt, "token_hash": token_hash}
    return ListsDocument(
        {"buyers": row_by_buyer}, {"plans": {"all": _UNLIMITED_ALLOWANCE | overrides}}
    )


def read_metric(process: processes.Process, name: str) -> dict[tuple, float]:
    """Return the values of a metric by label values."""
    with urllib.request.urlopen(
        f"{process.url}/metrics", timeout=_CALL_TIMEOUT_SECONDS
    ) as response:
        families = parser.text_string_to_metric_families(response.read().decode())
    samples = [sample for family in families for sample in family.samples if sample.name == name]
    return {tuple(sample.labels.values()): sample.value for sample in samples}


def call(
    method: str,
    url: str,
    body: Any = None,
    token: str = "",
    timeout_seconds: float = _CALL_TIMEOUT_SECONDS,
) -> tuple[int, dict]:
    """Send an HTTP request with a JSON body; return the status and the JSON response."""
    headers = {"Content-Type": "application/json"}
    if token:
        headers["Authorization"] = f"Bearer {token}"
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, headers=headers, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout_seconds) as response:
            return response.status, json.loads(response.read())
    except urllib.error.HTTPError as error:
        return error.code, _parse_json(error.read())


def _parse_json(text: bytes) -> dict:
    try:
        return json.loads(text)
    except ValueError:
        return {"text": text.decode(errors="replace")}
