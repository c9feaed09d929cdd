"""Run random schedules of faults: `schedules.py <name of the disabled rule, or none>`.

Prints a summary as one JSON object. PYTHONHASHSEED must be 0, since the order of sets of
strings would otherwise differ between runs.
"""

import asyncio
import contextlib
import json
import random
import sys

import hypothesis
import schedule_loop
import schedule_world
from hypothesis import strategies

from daisyfall import _clock, _ids

SEED = 20_260_412
MAX_SCHEDULES = 300
MAX_SCHEDULES_TO_FIND = 1500
SCHEDULE_SECONDS = 14.0
SETTLE_SECONDS = 12.0
ENTRY_COUNT = 3
OWNER = -1  # in place of an entry's number: the entry that owns the shard at that time
AGENT_COUNT = 3

entries = strategies.integers(0, ENTRY_COUNT - 1)
agents = strategies.integers(0, AGENT_COUNT - 1)
durations = strategies.sampled_from([0.3, 1.0, 2.5, 4.0, 8.0])
jobs = strategies.integers(0, 3)
# The settings allow callers' clocks to be off by 5 s; entries' clocks are off by up to 0.5 s,
# which leaves 4.4 s.
offsets = strategies.sampled_from([0, 0, -4400, 4400])


def times(limit: float):
    """Return a strategy for times up to a limit in seconds, in steps of 0.1 s."""
    return strategies.integers(0, int(limit * 10)).map(lambda tenths: tenths / 10)


submits = strategies.tuples(
    times(SCHEDULE_SECONDS), strategies.just("submit"), entries, jobs, offsets
)
entry_faults = ["pause", "cut_table", "slow_table", "lose_replies", "restart_entry"]
link_faults = ["cut_down", "cut_up", "slow_link"]
peer_faults = ["cut_peers", "slow_peers", "lose_peer_replies"]
agent_faults = ["refuse", "repeat", "restart_agent"]


def timed_faults(kinds: list[str], *names):
    """Return a strategy for faults of these kinds that stay active for some time."""
    return strategies.tuples(
        times(SCHEDULE_SECONDS),
        strategies.sampled_from(kinds),
        strategies.tuples(*names),
        durations,
    )


faults = strategies.one_of(
    timed_faults(entry_faults, entries),
    timed_faults(link_faults, entries, agents),
    timed_faults(peer_faults, entries, entries),
    timed_faults(agent_faults, agents),
)
# Faults of a burst ("crisis" event): they hit one entry and one agent together, around one job
# that is then submitted again to all entries.
burst_faults = [
    "pause",
    "cut_table",
    "cut_all",
    "slow_table",
    "lose_replies",
    "slow_link",
    "cut_others",
    "restart_agent",
    "restart_entry",
    "newcomer",
]
# Combinations that a random list of burst faults rarely contains.
common_bursts = [
    ["cut_table", "newcomer", "cut_others"],
    ["cut_table", "cut_others"],
    ["pause", "cut_others"],
    ["restart_entry", "restart_agent"],
]
fault_bursts = strategies.tuples(
    times(6.0),
    strategies.just("crisis"),
    strategies.one_of(entries, strategies.just(OWNER)),
    agents,
    jobs,
    offsets,
    strategies.one_of(
        strategies.lists(
            strategies.sampled_from(burst_faults), min_size=1, max_size=4, unique=True
        ),
        strategies.sampled_from(common_bursts),
        strategies.just(common_bursts[0]),
    ),
    strategies.sampled_from([1.0, 2.5, 4.0, 8.0, 8.0]),
)
schedules = strategies.tuples(
    strategies.integers(0, 1 << 32),
    strategies.integers(2, ENTRY_COUNT),
    strategies.integers(2, AGENT_COUNT),
    strategies.lists(fault_bursts, min_size=1, max_size=2),
    strategies.lists(submits, max_size=8),
    strategies.lists(faults, max_size=4),
)


class ViolationError(AssertionError):
    """The schedule violated a guarantee."""


class ScheduleRun:
    """Run of one schedule in its own simulated cluster."""

    def __init__(self, rules, seed: int, entry_count: int, agent_count: int):
        self.world = schedule_world.World(rules, seed, entry_count, agent_count)
        self.body_by_job: dict[int, tuple[str, bytes]] = {}

    async def run(self, events: list) -> list[str]:
        """Apply the events at their times and return the violated guarantees."""
        begin = _clock.monotonic()
        for at, kind, *details in sorted(events, key=lambda event: event[0]):
            await asyncio.sleep(max(0.0, begin + 3.0 + at - _clock.monotonic()))
            self._apply_event(kind, details)
        await asyncio.sleep(SETTLE_SECONDS)
        return self.world.violations()

    def _apply_event(self, kind: str, details: list) -> None:
        match kind, details:
            case "submit", [entry, job, offset_ms]:
                self._submit(self.world.entry_id(entry), job, offset_ms)
            case "crisis", _:
                self.world.spawn(self._run_burst(details))
            case "restart_entry", [[entry], seconds]:
                self.world.spawn(self._restart(self.world.entry_id(entry), seconds))
            case "restart_agent", [[agent], _]:
                self._restart_agent(agent)
            case _, [numbers, seconds]:
                self.world.start_fault(kind, self._affected_ids(kind, numbers), seconds)

    def _affected_ids(self, kind: str, numbers: tuple) -> tuple:
        entry_id = self.world.entry_id
        if kind in agent_faults:
            return (f"a{numbers[0]}",)
        if kind in link_faults:
            return (entry_id(numbers[0]), f"a{numbers[1]}")
        return tuple(entry_id(number) for number in numbers)

    async def _run_burst(self, burst: list) -> None:
        """Submit a job, start the faults, then submit it and further jobs to all entries."""
        entry, agent, job, offset_ms, kinds, seconds = burst
        if entry == OWNER:
            entry = self.world.owner_number()
        self._submit(self.world.entry_id(entry), job, offset_ms)
        await asyncio.sleep(self.world.random.choice([0.0, 0.001, 0.05, 0.5]))
        for kind in kinds:
            self._start_burst_fault(kind, entry, agent, seconds)
        for step, wait in enumerate((1.0, 2.5, 1.0, 1.0, 2.0, 2.0, 3.0)):
            await asyncio.sleep(wait)
            for entry_id in list(self.world.entry_by_id):
                self._submit(entry_id, job, offset_ms)
                self._submit(entry_id, 10 * (job + 1) + step, offset_ms)

    def _start_burst_fault(self, kind: str, entry: int, agent: int, seconds: float) -> None:
        match kind:
            case "cut_table":
                self._apply_event(kind, [(entry,), 4 * seconds])
            case "pause" | "slow_table" | "lose_replies" | "restart_entry":
                self._apply_event(kind, [(entry,), seconds])
            case "slow_link":
                self._apply_event(kind, [(entry, agent), seconds])
            case "restart_agent":
                self._apply_event(kind, [(agent,), seconds])
            case "cut_others":
                for other in (*range(ENTRY_COUNT), schedule_world.NEWCOMER):
                    if other != entry:
                        self._apply_event("cut_down", [(other, agent), 4 * seconds])
            case "cut_all":
                for number in range(ENTRY_COUNT):
                    self._apply_event("cut_table", [(number,), seconds])
                    for other in range(ENTRY_COUNT):
                        self._apply_event("cut_peers", [(number, other), seconds])
            case "newcomer":
                newcomer = self.world.entry_id(schedule_world.NEWCOMER)
                if newcomer not in self.world.entry_by_id:
                    self.world.start_entry(newcomer)

    def _restart_agent(self, number: int) -> None:
        if number < len(self.world.agents):
            self.world.agents[number].restart()

    def _submit(self, entry_id: str, job: int, offset_ms: int) -> None:
        """Submit a job; a number that was used before resubmits that job under the same id."""
        entry = self.world.entry_by_id.get(entry_id)
        if entry is None:
            return
        if job not in self.body_by_job:
            job_id = _ids.new_job_id(_clock.wall_ms() + offset_ms)
            source = self.world.random
            body = self.world.job_body(job_id, source.randint(1, 4), source.randint(200, 2500))
            self.body_by_job[job] = (job_id, body)
        job_id, body = self.body_by_job[job]
        attempt = schedule_world.Attempt(job_id)
        self.world.attempts.append(attempt)
        self.world.spawn(entry.submit(attempt, body))

    async def _restart(self, entry_id: str, seconds: float) -> None:
        """Kill an entry and start it again; an entry that is not running is just started."""
        entry = self.world.entry_by_id.pop(entry_id, None)
        if entry is not None:
            entry.kill()
            await asyncio.sleep(seconds)
        if entry_id not in self.world.entry_by_id:
            self.world.start_entry(entry_id)


def run_schedule(rules, schedule) -> dict:
    """Run one schedule; return the violations, the number of starts and the jobs' statuses."""
    seed, entry_count, agent_count, *events = schedule
    source = random.Random(seed)
    _ids.new_incarnation = lambda: f"{source.getrandbits(64):016x}"
    _ids.os.urandom = source.randbytes
    found = {}

    async def run():
        # Created inside the loop, because the world starts tasks in the running loop.
        schedule_run = ScheduleRun(rules, seed, entry_count, agent_count)
        found["faults"] = await schedule_run.run([event for part in events for event in part])
        found["starts"] = sum(schedule_run.world.starts.values())
        found["runs"] = [attempt.run for attempt in schedule_run.world.attempts]

    schedule_loop.run(run)
    return found


def run_schedules(rule: str) -> dict:
    """Run schedules until one violates a guarantee or all have been run; return a summary."""
    disabled = {} if rule == "none" else {rule: False}
    rules = schedule_world.Rules(**disabled)
    summary = {"rule off": rule, "seed": SEED, "schedules": 0, "starts": 0, "complete": 0}
    summary |= {"not run": 0, "faults": []}

    @hypothesis.seed(SEED)
    @hypothesis.settings(
        max_examples=MAX_SCHEDULES if rule == "none" else MAX_SCHEDULES_TO_FIND,
        database=None,
        deadline=None,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
        report_multiple_bugs=False,
    )
    @hypothesis.given(schedules)
    def check_schedule(schedule):
        found = run_schedule(rules, schedule)
        if not summary["faults"]:
            summary["schedules"] += 1
            summary["starts"] += found["starts"]
            summary["complete"] += found["runs"].count("complete")
            summary["not run"] += found["runs"].count("not run")
        if found["faults"]:
            summary["faults"] = found["faults"]
            summary["schedule"] = repr(schedule)
            raise ViolationError(found["faults"])

    with contextlib.suppress(ViolationError):
        check_schedule()
    return summary


if __name__ == "__main__":
    # Log output would slow the runs down.
    from loguru import logger

    logger.remove()
    print(json.dumps(run_schedules(sys.argv[1])))
