"""Run random schedules of faults: `schedules.py <name of the rule that is off, or none>`.

Prints one JSON object. PYTHONHASHSEED must be 0, since the order of sets of strings
would otherwise differ between runs.
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
EXAMPLES = 300
EXAMPLES_TO_FIND = 1500
SECONDS = 14.0
END_SECONDS = 12.0
ENTRIES = 3
OWNER = -1  # instead of an entry's number: the entry that owns the shard at that time
AGENTS = 3

entries = strategies.integers(0, ENTRIES - 1)
agents = strategies.integers(0, AGENTS - 1)
spans = strategies.sampled_from([0.3, 1.0, 2.5, 4.0, 8.0])
jobs = strategies.integers(0, 3)
# Callers' clocks are off by up to 5 s; entries' clocks by up to 0.5 s, which leaves 4.4 s.
offsets = strategies.sampled_from([0, 0, -4400, 4400])


def moments(limit: float):
    """Return times in seconds, in tenths."""
    return strategies.integers(0, int(limit * 10)).map(lambda tenths: tenths / 10)


submits = strategies.tuples(moments(SECONDS), strategies.just("submit"), entries, jobs, offsets)
at_entry = ["pause", "cut_table", "slow_table", "lose_replies", "restart_entry"]
at_link = ["cut_down", "cut_up", "slow_link"]
at_peers = ["cut_peers", "slow_peers", "lose_peer_replies"]
at_agent = ["refuse", "repeat", "restart_agent"]


def faults_of(kinds: list[str], *names):
    """Return faults that hold for a time."""
    return strategies.tuples(
        moments(SECONDS), strategies.sampled_from(kinds), strategies.tuples(*names), spans
    )


faults = strategies.one_of(
    faults_of(at_entry, entries),
    faults_of(at_link, entries, agents),
    faults_of(at_peers, entries, entries),
    faults_of(at_agent, agents),
)
# Faults around one entry, one agent and one job, which is submitted again everywhere.
crisis_faults = [
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
# Together these are rare among the lists of random faults.
likely_crises = [
    ["cut_table", "newcomer", "cut_others"],
    ["cut_table", "cut_others"],
    ["pause", "cut_others"],
    ["restart_entry", "restart_agent"],
]
crises = strategies.tuples(
    moments(6.0),
    strategies.just("crisis"),
    strategies.one_of(entries, strategies.just(OWNER)),
    agents,
    jobs,
    offsets,
    strategies.one_of(
        strategies.lists(
            strategies.sampled_from(crisis_faults), min_size=1, max_size=4, unique=True
        ),
        strategies.sampled_from(likely_crises),
        strategies.just(likely_crises[0]),
    ),
    strategies.sampled_from([1.0, 2.5, 4.0, 8.0, 8.0]),
)
schedules = strategies.tuples(
    strategies.integers(0, 1 << 32),
    strategies.integers(2, ENTRIES),
    strategies.integers(2, AGENTS),
    strategies.lists(crises, min_size=1, max_size=2),
    strategies.lists(submits, max_size=8),
    strategies.lists(faults, max_size=4),
)


class DoubleStartError(AssertionError):
    """The schedule broke a guarantee."""


class Play:
    """One schedule in one world."""

    def __init__(self, rules, seed: int, entry_count: int, agent_count: int):
        self.world = schedule_world.World(rules, seed, entry_count, agent_count)
        self.body_by_job: dict[int, tuple[str, bytes]] = {}

    async def run(self, events: list) -> list[str]:
        """Play the events and return the faults found."""
        begin = _clock.monotonic()
        for at, kind, *details in sorted(events, key=lambda event: event[0]):
            await asyncio.sleep(max(0.0, begin + 3.0 + at - _clock.monotonic()))
            self._do(kind, details)
        await asyncio.sleep(END_SECONDS)
        return self.world.faults_found()

    def _do(self, kind: str, details: list) -> None:
        match kind, details:
            case "submit", [entry, job, offset_ms]:
                self._submit(self.world.entry_id(entry), job, offset_ms)
            case "crisis", _:
                self.world.spawn(self._cross(details))
            case "restart_entry", [[entry], seconds]:
                self.world.spawn(self._restart(self.world.entry_id(entry), seconds))
            case "restart_agent", [[agent], _]:
                self._restart_agent(agent)
            case _, [numbers, seconds]:
                self.world.set_fault(kind, self._names(kind, numbers), seconds)

    def _names(self, kind: str, numbers: tuple) -> tuple:
        entry_id = self.world.entry_id
        if kind in at_agent:
            return (f"a{numbers[0]}",)
        if kind in at_link:
            return (entry_id(numbers[0]), f"a{numbers[1]}")
        return tuple(entry_id(number) for number in numbers)

    async def _cross(self, crisis: list) -> None:
        """Submit a job, let the faults begin, and submit it and later ones everywhere."""
        entry, agent, job, offset_ms, kinds, seconds = crisis
        if entry == OWNER:
            entry = self.world.owner_number()
        self._submit(self.world.entry_id(entry), job, offset_ms)
        await asyncio.sleep(self.world.random.choice([0.0, 0.001, 0.05, 0.5]))
        for kind in kinds:
            self._begin(kind, entry, agent, seconds)
        for step, wait in enumerate((1.0, 2.5, 1.0, 1.0, 2.0, 2.0, 3.0)):
            await asyncio.sleep(wait)
            for entry_id in list(self.world.entry_by_id):
                self._submit(entry_id, job, offset_ms)
                self._submit(entry_id, 10 * (job + 1) + step, offset_ms)

    def _begin(self, kind: str, entry: int, agent: int, seconds: float) -> None:
        match kind:
            case "cut_table":
                self._do(kind, [(entry,), 4 * seconds])
            case "pause" | "slow_table" | "lose_replies" | "restart_entry":
                self._do(kind, [(entry,), seconds])
            case "slow_link":
                self._do(kind, [(entry, agent), seconds])
            case "restart_agent":
                self._do(kind, [(agent,), seconds])
            case "cut_others":
                for other in (*range(ENTRIES), schedule_world.NEWCOMER):
                    if other != entry:
                        self._do("cut_down", [(other, agent), 4 * seconds])
            case "cut_all":
                for number in range(ENTRIES):
                    self._do("cut_table", [(number,), seconds])
                    for other in range(ENTRIES):
                        self._do("cut_peers", [(number, other), seconds])
            case "newcomer":
                newcomer = self.world.entry_id(schedule_world.NEWCOMER)
                if newcomer not in self.world.entry_by_id:
                    self.world.start_entry(newcomer)

    def _restart_agent(self, number: int) -> None:
        if number < len(self.world.agents):
            self.world.agents[number].restart()

    def _submit(self, entry_id: str, job: int, offset_ms: int) -> None:
        """Submit a job; the same number is the same job, with its first id."""
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
        """End an entry and start it again; an entry that does not run yet is started."""
        entry = self.world.entry_by_id.pop(entry_id, None)
        if entry is not None:
            entry.die()
            await asyncio.sleep(seconds)
        if entry_id not in self.world.entry_by_id:
            self.world.start_entry(entry_id)


def play(rules, schedule) -> dict:
    """Play one schedule; return the faults and what was done."""
    seed, entry_count, agent_count, *events = schedule
    source = random.Random(seed)
    _ids.new_incarnation = lambda: f"{source.getrandbits(64):016x}"
    _ids.os.urandom = source.randbytes
    found = {}

    async def run():
        # Made inside, because the world starts tasks in the running loop.
        made = Play(rules, seed, entry_count, agent_count)
        found["faults"] = await made.run([event for part in events for event in part])
        found["starts"] = sum(made.world.starts.values())
        found["runs"] = [attempt.run for attempt in made.world.attempts]

    schedule_loop.run(run)
    return found


def search(rule: str) -> dict:
    """Play schedules until one breaks a guarantee, or all have been played."""
    off = {} if rule == "none" else {rule: False}
    rules = schedule_world.Rules(**off)
    total = {"rule off": rule, "seed": SEED, "schedules": 0, "starts": 0, "complete": 0}
    total |= {"not run": 0, "faults": []}

    @hypothesis.seed(SEED)
    @hypothesis.settings(
        max_examples=EXAMPLES if rule == "none" else EXAMPLES_TO_FIND,
        database=None,
        deadline=None,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
        report_multiple_bugs=False,
    )
    @hypothesis.given(schedules)
    def explore(schedule):
        found = play(rules, schedule)
        if not total["faults"]:
            total["schedules"] += 1
            total["starts"] += found["starts"]
            total["complete"] += found["runs"].count("complete")
            total["not run"] += found["runs"].count("not run")
        if found["faults"]:
            total["faults"] = found["faults"]
            total["schedule"] = repr(schedule)
            raise DoubleStartError(found["faults"])

    with contextlib.suppress(DoubleStartError):
        explore()
    return total


if __name__ == "__main__":
    # Log lines of the decisions would only slow the search down.
    from loguru import logger

    logger.remove()
    print(json.dumps(search(sys.argv[1])))
