"""A whole deployment on this machine: platform stand-ins, entries, agents and runners."""

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
from daisyfall_standins import _shape, processes

_CALL_TIMEOUT_SECONDS = 10.0
_WAIT_SECONDS = 20.0
_POLL_SECONDS = 0.05
# An allowance that limits nothing that a load on one machine reaches.
_GENEROUS = {
    "starts_per_second": 100_000,
    "tasks_in_flight": 100_000,
    "slots": 10_000,
    "accelerators": 0,
    "largest_job_tasks": 1900,
    "longest_deadline_ms": 300_000,
    "priority": 5,
}


class ClusterError(Exception):
    """A call of an operator failed; the text holds the status and the answer."""


@attrs.frozen
class ListsDocument:
    """Both lists as an operator sends them."""

    plans: dict
    allowances: dict


@attrs.frozen
class Starts:
    """Starts as all runners together counted them."""

    count_by_id: dict[str, int]
    count_by_token: dict[str, int]

    @property
    def total(self) -> int:
        """Return the number of starts."""
        return sum(self.count_by_id.values())

    @property
    def twice(self) -> list[str]:
        """Return the ids, by task or by token, that were started more than once."""
        counts = [*self.count_by_id.items(), *self.count_by_token.items()]
        return sorted({key for key, count in counts if count > 1})


@attrs.define
class Cluster:
    """The processes of a deployment; runner n belongs to agent n."""

    fleet: processes.Fleet
    table: processes.Process
    objects: processes.Process
    entries: list[processes.Process] = attrs.Factory(list)
    agents: list[processes.Process] = attrs.Factory(list)
    runners: list[processes.Process] = attrs.Factory(list)

    @property
    def daemons(self) -> list[processes.Process]:
        """Return the entries and agents."""
        return [*self.entries, *self.agents]

    def add_entry(self, **changes) -> processes.Process:
        """Start one more entry; `changes` replace whole keys of its settings."""
        name = f"entry-{len(self.entries) + 1}"
        settings = self.fleet.entry_settings(name, self.table, self.objects, **changes)
        self.entries.append(self.fleet.start_daemon(name, settings))
        return self.entries[-1]

    def add_agent(self, runner_options: dict | None = None, **changes) -> processes.Process:
        """Start one more agent with its runner (none for runner kind null)."""
        number = len(self.agents) + 1
        changes = {"entries": [entry.peer for entry in self.entries], **changes}
        name = f"agent-{number}"
        settings = self.fleet.agent_settings(name, self.table, self.objects, **changes)
        agent = self.fleet.start_daemon(name, settings)
        self.agents.append(agent)
        if settings.get("runner", {}).get("kind") != "null":
            options = runner_options or {}
            self.runners.append(self.fleet.start_runner(f"runner-{number}", agent.url, **options))
        return agent

    def apply_lists(self, lists: ListsDocument) -> int:
        """Replace both lists through the first entry; return their version once in force."""
        url = f"{self.entries[0].url}/v1/lists"
        status, present = self.call("GET", url)
        base = present["version"] if status == 200 else 0
        status, answer = self.call("PUT", url, {"base_version": base} | attrs.asdict(lists))
        if status != 200:
            raise ClusterError(f"PUT {url}: status {status}, {answer}")
        version = answer["version"]
        self._wait_entries("lists", lambda answer: answer.get("version", 0) >= version)
        return version

    def wait_upstreams(self, count: int) -> None:
        """Return when every entry that runs counts this many ready upstreams."""

        def count_ready(answer: dict) -> int:
            return sum(each["state"] == "ready" for each in answer.get("upstreams", []))

        self._wait_entries("upstreams", lambda answer: count_ready(answer) >= count)

    def wait_balanced(self) -> None:
        """Return when each shard is owned by the running entry that wins its rendezvous hash.

        An entry that starts gets its shards seconds later, which moves jobs between entries.
        """
        live = [entry.name for entry in self.entries if entry.popen.poll() is None]

        def is_balanced(answer: dict) -> bool:
            owners = answer.get("owners", [])
            return bool(owners) and all(
                each["owner"] == _ids.rendezvous_winner(str(each["shard"]), live)
                and each["state"] in ("owned", "active")
                for each in owners
            )

        self._wait_entries("owners", is_balanced)

    def _wait_entries(self, resource: str, condition: Callable[[dict], bool]) -> None:
        limit = time.monotonic() + _WAIT_SECONDS
        for entry in self.entries:
            while entry.popen.poll() is None:
                _, answer = self.call("GET", f"{entry.url}/v1/{resource}")
                if condition(answer):
                    break
                if time.monotonic() > limit:
                    raise ClusterError(
                        f"{entry.name}: {resource} after {_WAIT_SECONDS} s: {answer}"
                    )
                time.sleep(_POLL_SECONDS)

    def call(self, method: str, url: str, body: Any = None) -> tuple[int, dict]:
        """Make one request as operator; return the status and the JSON answer."""
        return call(method, url, body, self.fleet.operator_token)

    def starts(self) -> Starts:
        """Return the starts in the journals of all runners, of those that were killed too."""
        rows = [
            json.loads(line)
            for runner in self.runners
            if runner.journal.exists()
            for line in runner.journal.read_text().splitlines()
        ]
        by_id = collections.Counter(task_id for task_id, _ in rows)
        by_token = collections.Counter(token for _, token in rows if token)
        return Starts(by_id, by_token)

    def sum_metric(self, name: str, group: list[processes.Process] | None = None) -> float:
        """Return a sample's sum over all labels and over the daemons that run."""
        running = [each for each in group or self.daemons if each.popen.poll() is None]
        return sum(sum(read_metric(each, name).values()) for each in running)


def start(
    fleet: processes.Fleet,
    lists: ListsDocument,
    *,
    entries: int = 2,
    agents: int = 3,
    runner_options: dict | None = None,
    entry_changes: dict | None = None,
    agent_changes: dict | None = None,
) -> Cluster:
    """Start a deployment; return when the lists are in force and every process is ready."""
    cluster = Cluster(fleet, fleet.start_table(), fleet.start_object_store())
    fleet.wait_ready()
    for _ in range(entries):
        cluster.add_entry(**(entry_changes or {}))
    # An entry without lists serves its operators, but it is not ready.
    for entry in cluster.entries:
        entry.wait_ready(path="/healthz")
    cluster.apply_lists(lists)
    for _ in range(agents):
        cluster.add_agent(runner_options, **(agent_changes or {}))
    fleet.wait_ready()
    cluster.wait_upstreams(agents)
    return cluster


def write_lists(buyers: list[_shape.Buyer], **changes) -> ListsDocument:
    """Return lists with one plan for all buyers; `changes` replace keys of its allowance."""
    rows = {}
    for buyer in buyers:
        salt = os.urandom(8).hex()
        token_hash = _lists.hash_token(buyer.secret, salt)
        rows[buyer.name] = {"plan": "all", "salt": salt, "token_hash": token_hash}
    return ListsDocument({"buyers": rows}, {"plans": {"all": _GENEROUS | changes}})


def read_metric(process: processes.Process, name: str) -> dict[tuple, float]:
    """Return a sample's values by label values."""
    with urllib.request.urlopen(f"{process.url}/metrics", timeout=_CALL_TIMEOUT_SECONDS) as reply:
        families = parser.text_string_to_metric_families(reply.read().decode())
    samples = [sample for family in families for sample in family.samples if sample.name == name]
    return {tuple(sample.labels.values()): sample.value for sample in samples}


def call(
    method: str,
    url: str,
    body: Any = None,
    token: str = "",
    timeout_seconds: float = _CALL_TIMEOUT_SECONDS,
) -> tuple[int, dict]:
    """Make one HTTP request with a JSON body; return the status and the JSON answer."""
    headers = {"Content-Type": "application/json"}
    if token:
        headers["Authorization"] = f"Bearer {token}"
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, headers=headers, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout_seconds) as reply:
            return reply.status, json.loads(reply.read())
    except urllib.error.HTTPError as error:
        return error.code, _parse(error.read())


def _parse(text: bytes) -> dict:
    try:
        return json.loads(text)
    except ValueError:
        return {"text": text.decode(errors="replace")}
