"""One job of the pool dispatcher at the entry that took it: its tasks and what to do next."""

import enum

import attrs

from daisyfall import _pool_wire
from daisyfall.policy import _room
from daisyfall.version import _routes

# Agents that a task avoids because it ended badly there.
MOST_AVOIDED = 3
# Time for the way of an answer to the caller, kept free at the end of its deadline.
ANSWER_MARGIN_S = 0.03
# Kept free before a job's latest start: ways between entry, scheduler, agent and runner.
START_MARGIN_S = 0.02
# A runner rejects a run number that is not above an earlier one of the same task.
RUN_STEP = 1
OLD_RUN_STEP = 16


@attrs.frozen
class Step:
    """Tasks of one kind in a job; `after` lists the steps that have to be done first."""

    count: int
    cpu: int
    memory_mb: int
    accelerators: int
    estimated_ms: float
    after: tuple[int, ...] = ()
    label: str = ""
    preferred_rack: str = ""
    max_per_runner: int = 0


@attrs.frozen
class Submission:
    """A decoded request; `wait_s` is how long the caller waits for the answer."""

    job_id: str
    route: _routes.Route
    payload: str
    steps: tuple[Step, ...]
    wait_s: float


class Outcome(enum.Enum):
    """How a job ended for its caller."""

    COMPLETED = "completed"
    FAILED = "failed"  # a task failed as often as the route allows
    REFUSED = "refused"  # nothing of it was started
    GIVEN_UP = "given_up"  # something of it was started
    CANCELLED = "cancelled"


@attrs.frozen
class Answer:
    """What the caller is told; `retry_after_s` is 0 without a hint."""

    outcome: Outcome
    reason: str = ""
    retry_after_s: float = 0.0


class Phase(enum.Enum):
    """State of one task at its entry."""

    BLOCKED = "blocked"  # an earlier step is not done
    WAITING = "waiting"  # for a place
    ORDERED = "ordered"  # at an agent
    DONE = "done"


@attrs.define(slots=True, eq=False)
class Task:
    """One task; `failures` counts runs that ended failed, `run` numbers its orders.

    `agent_life` is the incarnation of the agent that got the last order.
    """

    name: str
    step: int
    phase: Phase
    expected_ms: float
    failures: int = 0
    run: int = 0
    agent_id: str = ""
    agent_life: str = ""
    avoid: tuple[str, ...] = ()
    request_id: str = ""
    was_moved: bool = False


@attrs.define(slots=True, eq=False)
class Job:
    """One job; times in seconds on the steady clock."""

    submission: Submission
    arrived_at: float
    task_by_name: dict[str, Task]
    latest_start: float
    deadline: float
    requests: int = 0
    has_ordered: bool = False
    first_ordered_at: float = 0.0

    @property
    def id(self) -> str:
        """Return the caller's id of the job."""
        return self.submission.job_id

    @property
    def is_done(self) -> bool:
        """Tell whether all tasks are done."""
        return all(each.phase is Phase.DONE for each in self.task_by_name.values())

    def waiting(self) -> list[Task]:
        """Return the tasks that wait for a place."""
        return [each for each in self.task_by_name.values() if each.phase is Phase.WAITING]

    def ordered(self) -> list[Task]:
        """Return the tasks that are at an agent."""
        return [each for each in self.task_by_name.values() if each.phase is Phase.ORDERED]

    def unblock(self) -> list[Task]:
        """Make the tasks whose earlier steps are done wait for a place; return them."""
        tasks = self.task_by_name.values()
        open_steps = {each.step for each in tasks if each.phase is not Phase.DONE}
        ready = []
        for task in tasks:
            after = self.submission.steps[task.step].after
            if task.phase is Phase.BLOCKED and not open_steps.intersection(after):
                task.phase = Phase.WAITING
                ready.append(task)
        return ready

    def demand(self, task: Task) -> _room.Demand:
        """Return what a task needs."""
        step = self.submission.steps[task.step]
        return _room.Demand(
            task=task.name,
            job_id=self.id,
            cpu=step.cpu,
            memory_mb=step.memory_mb,
            accelerators=step.accelerators,
            expected_ms=task.expected_ms,
            label=step.label,
            preferred_rack=step.preferred_rack,
            max_per_runner=step.max_per_runner,
            avoid=task.avoid,
        )

    def order(self, task: Task, agent_id: str, patience_ms: int) -> _pool_wire.RunTask:
        """Return the order of a task that was given to an agent."""
        step = self.submission.steps[task.step]
        task.phase = Phase.ORDERED
        task.agent_id = agent_id
        task.run += RUN_STEP
        self.has_ordered = True
        return _pool_wire.RunTask(
            task.name,
            task.run,
            self.id,
            self.submission.payload,
            step.cpu,
            step.memory_mb,
            step.accelerators,
            task.expected_ms,
            patience_ms,
            not task.was_moved,
        )

    def put_back(self, task: Task, *, avoids_agent: bool) -> None:
        """Make a task wait for another place."""
        task.phase = Phase.WAITING
        if avoids_agent and task.agent_id not in task.avoid:
            task.avoid = (*task.avoid, task.agent_id)[-MOST_AVOIDED:]
        task.agent_id = ""

    def can_still_end(self, now: float) -> bool:
        """Tell whether a task that is placed now could end before the deadline."""
        longest_ms = max((each.expected_ms for each in self.waiting()), default=0.0)
        return now + longest_ms / 1000 < self.deadline - ANSWER_MARGIN_S


def make(submission: Submission, expected_ms: list[float], now: float) -> Job:
    """Return a job whose tasks all wait or are blocked; `expected_ms` is by step."""
    task_by_name = {}
    for number, step in enumerate(submission.steps):
        for index in range(step.count):
            name = f"{submission.job_id}.{number}.{index}"
            task_by_name[name] = Task(name, number, Phase.BLOCKED, expected_ms[number])
    chain_ms = longest_chain(submission.steps, expected_ms)
    route = submission.route
    slack_s = ((route.stretch - 1) * chain_ms + route.objective_ms) / 1000 - START_MARGIN_S
    deadline = now + submission.wait_s
    latest_start = min(now + slack_s, deadline - chain_ms / 1000 - ANSWER_MARGIN_S)
    return Job(submission, now, task_by_name, latest_start, deadline)


def longest_chain(steps: tuple[Step, ...], expected_ms: list[float]) -> float:
    """Return the expected time in ms of the longest chain of steps."""
    ends: dict[int, float] = {}

    def end(number: int) -> float:
        if number not in ends:
            before = max((end(each) for each in steps[number].after), default=0.0)
            ends[number] = before + expected_ms[number]
        return ends[number]

    return max(end(number) for number in range(len(steps)))
