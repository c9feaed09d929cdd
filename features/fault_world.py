"""A small cluster for the fault scenarios, and the answers that its callers received.

The guarantees are checked from outside: the runners count the starts, and the callers
keep every answer.
"""

import asyncio
import collections
import concurrent.futures
import http.client
import itertools
import os
import time
import urllib.error

import attrs

from daisyfall import _ids
from daisyfall_standins import _workload, load, processes
from daisyfall_standins import cluster as clusters

# Timeout and interval of polling for a state; the guarantees don't depend on them.
STATE_TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.05
SHARD_COUNT = 16
LEASE_SECONDS = 2.0
BUYER_COUNT = 6
JOB_DEADLINE_MS = 20_000
CALL_ERRORS = (urllib.error.URLError, http.client.HTTPException, OSError, TimeoutError)


def shard_of(buyer: _workload.Buyer) -> int:
    """Return the shard of a buyer."""
    return _ids.shard_of(buyer.name, SHARD_COUNT)


@attrs.define
class Answer:
    """One attempt of a caller; `status` 0 means that the connection ended without an answer."""

    status: int
    body: dict

    @property
    def run(self) -> str:
        """Return the execution status: complete, not run, may have run or running."""
        if not self.status:
            return "no answer"
        if "error" in self.body:
            return self.body["error"]["run"]
        return self.body.get("state", "")

    @property
    def kind(self) -> str:
        """Return the error kind, empty for none."""
        return self.body.get("error", {}).get("kind", "")


@attrs.define
class Job:
    """A job of a scenario and all attempts to submit it."""

    buyer: _workload.Buyer
    body: dict
    attempts: list[concurrent.futures.Future] = attrs.Factory(list)

    @property
    def tokens(self) -> list[str]:
        """Return the tokens that identify the tasks at the runners."""
        return [task["payload"]["token"] for task in self.body["tasks"]]

    def answers(self) -> list[Answer]:
        """Wait for every attempt and return the answers in the order of submission."""
        return [attempt.result(STATE_TIMEOUT_SECONDS + 15) for attempt in self.attempts]


class World:
    """Processes of one feature and the jobs of one scenario."""

    def __init__(self, entries: int, agents: int):
        self.fleet = processes.Fleet().__enter__()
        self._pool = concurrent.futures.ThreadPoolExecutor(64)
        self._numbers = itertools.count()
        self._run_id = os.urandom(4).hex()
        self.buyers = [_workload.Buyer(f"buyer-{n}", f"secret-{n}") for n in range(BUYER_COUNT)]
        self.lists = clusters.build_lists(self.buyers)
        self.cluster = clusters.start(self.fleet, self.lists, entries=entries, agents=agents)
        self.start_scenario()

    def close(self) -> None:
        """End all processes."""
        self._pool.shutdown(wait=False, cancel_futures=True)
        self.fleet.__exit__(None, None, None)

    def start_scenario(self) -> None:
        """Drop the state of the previous scenario and wait until all processes serve again."""
        self.job_by_name: dict[str, Job] = {}
        self.starts_of_ended = clusters.StartCounts(collections.Counter(), collections.Counter())
        self.records: list[load.JobRecord] = []
        self.load: concurrent.futures.Future | None = None
        self.note: dict = {}
        self.restore_service()
        self.role_by_name: dict[str, processes.Process] = {}
        self.buyer = self.buyers[0]
        self.assign_roles()

    # Service.

    def restore_service(self) -> None:
        """Clear all faults and restart ended processes; return when all of them serve."""
        for stand_in in (self.cluster.table, self.cluster.objects, *self.cluster.runners):
            if stand_in.popen.poll() is not None:
                self.fleet.restart(stand_in)
                stand_in.wait_ready()
            self.set_fault(stand_in, {})
        for entry in self.cluster.entries:
            entry.resume()
            if entry.popen.poll() is not None:
                self.fleet.restart(entry)
        for entry in self.cluster.entries:
            entry.wait_ready()
        for agent in self.cluster.agents:
            agent.resume()
            if agent.popen.poll() is not None:
                self.remove_upstream(agent)
                self.fleet.restart(agent)
        for agent in self.cluster.agents:
            self.set_desired_state(agent, "started")
        self.cluster.wait_upstreams_ready(len(self.cluster.agents))
        # Shards that moved later would add a second fault to the scenario.
        self.wait("every shard is active at its preferred owner", self.has_preferred_owners)

    def remove_upstream(self, agent: processes.Process) -> None:
        """Remove the upstream of an agent, as operators do after the permanent loss of a host."""
        url = f"{self.cluster.entries[0].url}/v1/upstreams/{agent.name}"
        self.wait(
            f"{agent.name} is removed", lambda: self.cluster.call("DELETE", url)[0] == 200, url
        )

    def set_desired_state(self, agent: processes.Process, state: str) -> None:
        """Set the desired state of an upstream, as operators do."""
        url = f"{self.cluster.entries[0].url}/v1/upstreams/{agent.name}"
        self.wait(
            f"{agent.name} is {state}",
            lambda: self.cluster.call("PUT", url, {"wish": state})[0] == 200,
        )

    def has_preferred_owners(self) -> bool:
        """Return whether each shard is active at its preferred owner, by rendezvous hashing."""
        names = [entry.name for entry in self.cluster.entries]
        found = {shard: entry.name for shard, entry in self.owner_by_shard().items()}
        return found == {n: _ids.rendezvous_winner(str(n), names) for n in range(SHARD_COUNT)}

    def owner_by_shard(self) -> dict[int, processes.Process]:
        """Return the owner of each shard, as the entries report it."""
        found = {}
        for entry in self.cluster.entries:
            if entry.popen.poll() is None:
                found |= dict.fromkeys(self.status(entry)["shards"], entry)
        return found

    def assign_roles(self) -> None:
        """Choose a buyer; name the owner of its jobs `owner` and another entry `other`."""
        owners = self.owner_by_shard()
        self.buyer = self.buyers[0]
        owner = owners[shard_of(self.buyer)]
        others = [entry for entry in self.cluster.entries if entry is not owner]
        self.role_by_name = {"owner": owner} | ({"other": others[0]} if others else {})

    def process(self, name: str) -> processes.Process:
        """Return an entry by its role, or any process by its name."""
        return self.role_by_name.get(name) or self.fleet.process_by_name[name]

    def status(self, process: processes.Process) -> dict:
        """Return the status of a daemon, without shards if it does not answer."""
        try:
            return clusters.call("GET", f"{process.url}/status")[1]
        except CALL_ERRORS:
            return {"shards": []}

    def entry_logs(self) -> str:
        """Return the exit status, `None` while it runs, and the last log lines of each entry."""
        return "\n".join(
            f"{each.name}, status {each.popen.poll()}:\n{each.log_tail()}"
            for each in self.cluster.entries
        )

    def set_fault(self, stand_in: processes.Process, fault: dict) -> None:
        """Set the injected fault of a stand-in; an empty one clears it."""
        status, answer = clusters.call("PUT", f"{stand_in.url}/v1/fault", fault)
        assert status == 200, f"fault {fault} at {stand_in.name}: {status} {answer}"

    def wait(self, state: str, condition, *details) -> None:
        """Poll until the condition holds; fail after the timeout."""
        limit = time.monotonic() + STATE_TIMEOUT_SECONDS
        while time.monotonic() < limit:
            try:
                if condition():
                    return
            except CALL_ERRORS:
                pass  # The polled process may be down at the moment.
            time.sleep(POLL_SECONDS)
        raise AssertionError(f"not reached in {STATE_TIMEOUT_SECONDS} s: {state} {details}")

    # Jobs.

    def new_job(self, name: str, tasks: int, run_ms: int) -> Job:
        """Create a job of the current buyer."""
        number = next(self._numbers)
        items = [
            {
                "kind": "fault",
                "payload": {"token": f"{self._run_id}/{number}/{index}", "run_ms": run_ms},
                "run_ms": run_ms,
                "memory_mb": 0,
                "accelerators": 0,
            }
            for index in range(tasks)
        ]
        body = {"job_id": _ids.new_job_id(), "deadline_ms": JOB_DEADLINE_MS, "tasks": items}
        self.job_by_name[name] = Job(self.buyer, body)
        return self.job_by_name[name]

    def submit(self, job: Job, entry: processes.Process, query: str = "") -> None:
        """Submit a job in the background."""
        job.attempts.append(self._pool.submit(self.post, job, job.body, entry, query))

    def post(self, job: Job, body: dict, entry: processes.Process, query: str = "") -> Answer:
        """Submit a request body and wait for the answer."""
        return self.send_request("POST", job, entry, f"/v1/jobs{query}", body)

    def send_request(self, method: str, job: Job, entry, path: str, body=None) -> Answer:
        """Send one request as the buyer of a job."""
        try:
            return Answer(*_call(method, f"{entry.url}{path}", body, job.buyer.token))
        except CALL_ERRORS as error:
            return Answer(0, {"broken": f"{type(error).__name__} {error}"})

    def resubmit(self, job: Job, entry: processes.Process) -> Answer:
        """Submit a job again until the answer doesn't tell the caller to retry with the same id."""
        limit = time.monotonic() + STATE_TIMEOUT_SECONDS
        while True:
            answer = self.post(job, job.body, entry)
            done: concurrent.futures.Future = concurrent.futures.Future()
            done.set_result(answer)
            job.attempts.append(done)
            should_retry = (
                not answer.status or answer.body.get("error", {}).get("retry") == "same id"
            )
            if not should_retry or time.monotonic() > limit:
                return answer
            time.sleep(0.2)

    def start_load(self, jobs: int, seconds: float, run_ms: tuple[float, float]) -> None:
        """Start a load of jobs of all buyers at all entries in the background."""
        load_shape = _workload.LoadShape(
            buyers=self.buyers,
            jobs=jobs,
            seconds=seconds,
            jobs_per_second=jobs / seconds,
            weight_by_tasks={1: 0.4, 3: 0.6},
            run_ms=run_ms,
            long_task_share=0.0,
            deadline_ms=JOB_DEADLINE_MS,
        )
        generator = load.LoadGenerator(load_shape, [entry.url for entry in self.cluster.entries])
        self.load = self._pool.submit(lambda: asyncio.run(generator.run()))

    def wait_load(self) -> list[load.JobRecord]:
        """Wait until the load has ended and return the records of its jobs."""
        if self.load is not None:
            self.records = self.load.result(3 * STATE_TIMEOUT_SECONDS)
            self.load = None
        return self.records

    # Lists.

    def call_concurrently(self, calls: list) -> list:
        """Call functions concurrently and return their results in order."""
        futures = [self._pool.submit(call) for call in calls]
        return [future.result(STATE_TIMEOUT_SECONDS) for future in futures]

    def lists_body(self, base_version: int, slots: int) -> dict:
        """Return the body of an edit that changes the slots of the plan in the initial lists."""
        plan = self.lists.allowances["plans"]["all"] | {"slots": slots}
        return {
            "base_version": base_version,
            "plans": self.lists.plans,
            "allowances": {"plans": {"all": plan}},
        }

    def watch_versions(self) -> None:
        """Record the lists version at every entry in the background until `end_watch`."""
        self._watching = True
        self._watch = self._pool.submit(self._record_versions)

    def end_watch(self) -> dict[str, list[int]]:
        """Stop recording and return the successive versions by entry."""
        self._watching = False
        return self._watch.result(STATE_TIMEOUT_SECONDS)

    def _record_versions(self) -> dict[str, list[int]]:
        seen: dict[str, list[int]] = {entry.name: [] for entry in self.cluster.entries}
        limit = time.monotonic() + 2 * STATE_TIMEOUT_SECONDS
        while self._watching and time.monotonic() < limit:
            for entry in self.cluster.entries:
                try:
                    status, answer = self.cluster.call("GET", f"{entry.url}/v1/lists")
                except CALL_ERRORS:
                    continue
                if status == 200 and seen[entry.name][-1:] != [answer["version"]]:
                    seen[entry.name].append(answer["version"])
            time.sleep(POLL_SECONDS)
        return seen

    # Starts and guarantees.

    def starts(self) -> clusters.StartCounts:
        """Return the starts counted by the runners, including runners that have ended."""
        now = self.cluster.starts()
        earlier = self.starts_of_ended
        return clusters.StartCounts(
            now.count_by_id + earlier.count_by_id, now.count_by_token + earlier.count_by_token
        )

    def started(self, job: Job) -> int:
        """Return the number of starts of the job's tasks."""
        counts = self.starts().count_by_token
        return sum(counts.get(token, 0) for token in job.tokens)

    def check_guarantees(self) -> None:
        """Check the guarantees P1 to P5 for every job of the scenario."""
        records = self.wait_load()
        starts = self.starts()
        assert not starts.duplicate_ids, f"started twice: {starts.duplicate_ids}"
        audit = load.audit(records, starts.count_by_token)
        assert not audit.started_though_not_run, audit.started_though_not_run
        assert not audit.complete_without_start, audit.complete_without_start
        wrong = [each for each in records if each.outcome is load.Outcome.INCORRECT]
        assert not wrong, wrong
        for name, job in self.job_by_name.items():
            self._check_job(name, job, starts)

    def _check_job(self, name: str, job: Job, starts: clusters.StartCounts) -> None:
        answers = job.answers()
        payloads = [task["payload"] for task in job.body["tasks"]]
        for answer in answers:
            if answer.run == "complete":
                assert answer.body["job_id"] == job.body["job_id"], (name, answer)
                assert answer.body["results"] == payloads, (name, answer)
            else:
                assert "results" not in answer.body, (name, answer)
        if all(answer.run == "not run" for answer in answers):
            ran = [token for token in job.tokens if token in starts.count_by_token]
            assert not ran, f"{name} was reported as not run, but ran: {ran} {answers}"

    def is_idle(self) -> bool:
        """Return whether no running process has work left."""
        for entry in self.cluster.entries:
            if entry.popen.poll() is None and _remaining_work(self.status(entry)):
                return False
        states = [self.status(a) for a in self.cluster.agents if a.popen.poll() is None]
        return all(state.get("running") == state.get("queued") == 0 for state in states)

    def entry_logs(self) -> str:
        """Return the last log lines of the entries, for an error message."""
        return "\n".join(f"{each.name}:\n{each.log_tail()}" for each in self.cluster.entries)

    def describe_remaining_work(self) -> list:
        """Return the remaining work of each process, for an error message."""
        found = [
            (e.name, _remaining_work(self.status(e)))
            for e in self.cluster.entries
            if e.popen.poll() is None
        ]
        states = [(a.name, self.status(a)) for a in self.cluster.agents if a.popen.poll() is None]
        return found + [(name, s.get("running"), s.get("queued")) for name, s in states]


def _remaining_work(status: dict) -> dict:
    dispatcher = status.get("dispatcher", {})
    counts = {"jobs": status.get("jobs"), "open_requests": status.get("open_requests")}
    for key in ("jobs", "queued", "in_flight", "use_by_buyer"):
        counts[f"dispatcher {key}"] = dispatcher.get(key)
    return {key: value for key, value in counts.items() if value not in (0, {})}


def _call(method: str, url: str, body, token: str) -> tuple[int, dict]:
    return clusters.call(method, url, body, token, STATE_TIMEOUT_SECONDS + 10)
