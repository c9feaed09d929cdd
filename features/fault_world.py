"""A small cluster for the fault scenarios, and what its callers were answered.

The guarantees are checked from outside: the runners count starts, the callers
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

# Bounds on waiting for a state; none of them decides about right and wrong.
STATE_LIMIT_SECONDS = 30.0
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
        """Return what the answer says about the run: complete, not run, may have run, running."""
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
    """One job of a scenario and all attempts to have it run."""

    buyer: _workload.Buyer
    body: dict
    attempts: list[concurrent.futures.Future] = attrs.Factory(list)

    @property
    def tokens(self) -> list[str]:
        """Return the identities of the tasks."""
        return [task["payload"]["token"] for task in self.body["tasks"]]

    def answers(self) -> list[Answer]:
        """Wait for every attempt and return the answers in the order of submission."""
        return [attempt.result(STATE_LIMIT_SECONDS + 15) for attempt in self.attempts]


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
        self.begin()

    def close(self) -> None:
        """End all processes."""
        self._pool.shutdown(wait=False, cancel_futures=True)
        self.fleet.__exit__(None, None, None)

    def begin(self) -> None:
        """Forget the former scenario and bring every process back to service."""
        self.job_by_name: dict[str, Job] = {}
        self.starts_of_ended = clusters.StartCounts(collections.Counter(), collections.Counter())
        self.records: list[load.JobRecord] = []
        self.load: concurrent.futures.Future | None = None
        self.note: dict = {}
        self.heal()
        self.role_by_name: dict[str, processes.Process] = {}
        self.buyer = self.buyers[0]
        self.name_roles()

    # Service.

    def heal(self) -> None:
        """Clear all faults and start what has ended; return when everything serves."""
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
            self.wish(agent, "started")
        self.cluster.wait_upstreams_ready(len(self.cluster.agents))
        # Later moves of shards would add a second fault to scenarios that are about one.
        self.wait("every shard is active where the hash puts it", self.all_in_place)

    def remove_upstream(self, agent: processes.Process) -> None:
        """Remove an agent's row, as an operator does whose host is gone for good."""
        url = f"{self.cluster.entries[0].url}/v1/upstreams/{agent.name}"
        self.wait(
            f"{agent.name} is removed", lambda: self.cluster.call("DELETE", url)[0] == 200, url
        )

    def wish(self, agent: processes.Process, wish: str) -> None:
        """Set the operators' wish for an upstream."""
        url = f"{self.cluster.entries[0].url}/v1/upstreams/{agent.name}"
        self.wait(
            f"{agent.name} is {wish}",
            lambda: self.cluster.call("PUT", url, {"wish": wish})[0] == 200,
        )

    def all_in_place(self) -> bool:
        """Tell whether each shard is active at the entry that the hash names."""
        names = [entry.name for entry in self.cluster.entries]
        found = {shard: entry.name for shard, entry in self.owner_by_shard().items()}
        return found == {n: _ids.rendezvous_winner(str(n), names) for n in range(SHARD_COUNT)}

    def owner_by_shard(self) -> dict[int, processes.Process]:
        """Return the entries by the shards that they say are active at them."""
        found = {}
        for entry in self.cluster.entries:
            if entry.popen.poll() is None:
                found |= dict.fromkeys(self.status(entry)["shards"], entry)
        return found

    def name_roles(self) -> None:
        """Choose a buyer and name the entry that owns its jobs `owner`, another one `other`."""
        owners = self.owner_by_shard()
        self.buyer = self.buyers[0]
        owner = owners[shard_of(self.buyer)]
        others = [entry for entry in self.cluster.entries if entry is not owner]
        self.role_by_name = {"owner": owner} | ({"other": others[0]} if others else {})

    def process(self, name: str) -> processes.Process:
        """Return an entry by its role, or any process by its name."""
        return self.role_by_name.get(name) or self.fleet.process_by_name[name]

    def status(self, process: processes.Process) -> dict:
        """Return a daemon's state, nothing if it does not answer."""
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
        """Set the fault switch of a stand-in; an empty one clears it."""
        status, answer = clusters.call("PUT", f"{stand_in.url}/v1/fault", fault)
        assert status == 200, f"fault {fault} at {stand_in.name}: {status} {answer}"

    def wait(self, state: str, condition, *details) -> None:
        """Return when the condition holds; fail after a generous time."""
        limit = time.monotonic() + STATE_LIMIT_SECONDS
        while time.monotonic() < limit:
            try:
                if condition():
                    return
            except CALL_ERRORS:
                pass  # The process that is asked may be down at the moment.
            time.sleep(POLL_SECONDS)
        raise AssertionError(f"not reached in {STATE_LIMIT_SECONDS} s: {state} {details}")

    # Jobs.

    def new_job(self, name: str, tasks: int, run_ms: int) -> Job:
        """Make a job of the present buyer."""
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
        """Submit in the background."""
        job.attempts.append(self._pool.submit(self.post, job, job.body, entry, query))

    def post(self, job: Job, body: dict, entry: processes.Process, query: str = "") -> Answer:
        """Submit a body and wait for the answer."""
        return self.caller("POST", job, entry, f"/v1/jobs{query}", body)

    def caller(self, method: str, job: Job, entry, path: str, body=None) -> Answer:
        """Make one request as the job's buyer."""
        try:
            return Answer(*_call(method, f"{entry.url}{path}", body, job.buyer.token))
        except CALL_ERRORS as error:
            return Answer(0, {"broken": f"{type(error).__name__} {error}"})

    def resubmit(self, job: Job, entry: processes.Process) -> Answer:
        """Submit the job again until the answer does not ask for another attempt."""
        limit = time.monotonic() + STATE_LIMIT_SECONDS
        while True:
            answer = self.post(job, job.body, entry)
            done: concurrent.futures.Future = concurrent.futures.Future()
            done.set_result(answer)
            job.attempts.append(done)
            again = not answer.status or answer.body.get("error", {}).get("retry") == "same id"
            if not again or time.monotonic() > limit:
                return answer
            time.sleep(0.2)

    def start_load(self, jobs: int, seconds: float, run_ms: tuple[float, float]) -> None:
        """Run a load over all entries and buyers in the background."""
        shape = _workload.LoadShape(
            buyers=self.buyers,
            jobs=jobs,
            seconds=seconds,
            jobs_per_second=jobs / seconds,
            weight_by_tasks={1: 0.4, 3: 0.6},
            run_ms=run_ms,
            long_task_share=0.0,
            deadline_ms=JOB_DEADLINE_MS,
        )
        generator = load.LoadGenerator(shape, [entry.url for entry in self.cluster.entries])
        self.load = self._pool.submit(lambda: asyncio.run(generator.run()))

    def end_load(self) -> list[load.JobRecord]:
        """Wait for the load and return what its callers saw."""
        if self.load is not None:
            self.records = self.load.result(3 * STATE_LIMIT_SECONDS)
            self.load = None
        return self.records

    # Lists.

    def together(self, calls: list) -> list:
        """Make calls at the same time and return their results in order."""
        futures = [self._pool.submit(call) for call in calls]
        return [future.result(STATE_LIMIT_SECONDS) for future in futures]

    def lists_body(self, base_version: int, slots: int) -> dict:
        """Return a PUT body with the lists of the start but for the slots of the plan."""
        plan = self.lists.allowances["plans"]["all"] | {"slots": slots}
        return {
            "base_version": base_version,
            "plans": self.lists.plans,
            "allowances": {"plans": {"all": plan}},
        }

    def watch_versions(self) -> None:
        """Record the lists version of every entry until `end_watch`."""
        self._watching = True
        self._watch = self._pool.submit(self._record_versions)

    def end_watch(self) -> dict[str, list[int]]:
        """Return the versions that were seen, by entry."""
        self._watching = False
        return self._watch.result(STATE_LIMIT_SECONDS)

    def _record_versions(self) -> dict[str, list[int]]:
        seen: dict[str, list[int]] = {entry.name: [] for entry in self.cluster.entries}
        limit = time.monotonic() + 2 * STATE_LIMIT_SECONDS
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

    # Counts.

    def starts(self) -> clusters.StartCounts:
        """Return the starts that the runners counted, those of ended runners too."""
        now = self.cluster.starts()
        former = self.starts_of_ended
        return clusters.StartCounts(
            now.count_by_id + former.count_by_id, now.count_by_token + former.count_by_token
        )

    def started(self, job: Job) -> int:
        """Return the number of starts of the job's tasks."""
        counts = self.starts().count_by_token
        return sum(counts.get(token, 0) for token in job.tokens)

    def check_guarantees(self) -> None:
        """Check P1 to P5 for every job of the scenario."""
        records = self.end_load()
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
            assert not ran, f"{name} was answered as not run, but ran: {ran} {answers}"

    def idle(self) -> bool:
        """Tell whether every process that runs is back at its level without work."""
        for entry in self.cluster.entries:
            if entry.popen.poll() is None and _left_at_entry(self.status(entry)):
                return False
        states = [self.status(a) for a in self.cluster.agents if a.popen.poll() is None]
        return all(state.get("running") == state.get("queued") == 0 for state in states)

    def entry_logs(self) -> str:
        """Return the ends of the entries' logs, for a message."""
        return "\n".join(f"{each.name}:\n{each.log_tail()}" for each in self.cluster.entries)

    def describe(self) -> list:
        """Return what is left at each process, for a message."""
        found = [
            (e.name, _left_at_entry(self.status(e)))
            for e in self.cluster.entries
            if e.popen.poll() is None
        ]
        states = [(a.name, self.status(a)) for a in self.cluster.agents if a.popen.poll() is None]
        return found + [(name, s.get("running"), s.get("queued")) for name, s in states]


def _left_at_entry(status: dict) -> dict:
    dispatcher = status.get("dispatcher", {})
    counts = {"jobs": status.get("jobs"), "open_requests": status.get("open_requests")}
    for key in ("jobs", "queued", "in_flight", "use_by_buyer"):
        counts[f"dispatcher {key}"] = dispatcher.get(key)
    return {key: value for key, value in counts.items() if value not in (0, {})}


def _call(method: str, url: str, body, token: str) -> tuple[int, dict]:
    return clusters.call(method, url, body, token, STATE_LIMIT_SECONDS + 10)
