"""State of one pool job and its tasks at the entry that accepted it."""

import enum

import attrs

from daisyfall import _pool_wire
from daisyfall.policy import _entry_limits, _job_queue, _runner_capacity
from daisyfall.version import _routes

# How many of the agents where a task last failed are avoided when it is placed again.
MAX_AVOIDED_AGENTS = 3
# Reserved at the end of a job's deadline for sending the answer to the caller.
ANSWER_MARGIN_S = 0.03
# Reserved before a job's latest start for the messages between entry, scheduler, agent and runner.
START_MARGIN_S = 0.02
# Fraction of a caller's time that a job may wait for its first start. A refusal after that would
# leave the caller too little time for another attempt.
MAX_LATE_WAIT_FRACTION = 0.45
# A job that ends later than this many times its objective is of no use to its caller.
MAX_LATE_FACTOR = 3.0
# A runner rejects a run number that is not above an earlier one of the same task. After a
# rejection the number is raised by the larger step.
RUN_STEP = 1
OLD_RUN_STEP = 16


@attrs.frozen
class Step:
    """A stage of a job: `count` tasks of one kind.

    `cpu` is in thousandths of a core. `after` holds the indices of the steps that must be done
    before this one starts.
    """

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
    """A decoded job request; the caller waits `wait_s` for the answer."""

    job_id: str
    route: _routes.Route
    payload: str
    steps: tuple[Step, ...]
    wait_s: float


class Outcome(enum.Enum):
    """How a job ended, as reported to its caller."""

    COMPLETED = "completed"
    FAILED = "failed"  # a task used up the attempts that the route allows
    REFUSED = "refused"  # no task was dispatched
    GIVEN_UP = "given_up"  # not completed, but tasks may have run
    CANCELLED = "cancelled"


@attrs.frozen
class Answer:
    """The answer to the caller; `retry_after_s` is 0 if there is no retry hint."""

    outcome: Outcome
    reason: str = ""
    retry_after_s: float = 0.0


class Phase(enum.Enum):
    """State of a task at the entry that accepted its job."""

    BLOCKED = "blocked"  # a step it depends on is not done
    WAITING = "waiting"  # for placement
    DISPATCHED = "ordered"  # sent to an agent
    DONE = "done"


@attrs.define(slots=True, eq=False)
class Task:
    """One task of a job.

    `failures` counts failed runs. `run` is the number of the run that was dispatched last,
    `agent_incarnation` the incarnation of the agent it went to in `pool`. `request_id` is the last
    placement request; `was_rescheduled` is set once an agent ended the task for a run elsewhere.
    `dispatched_at` is in seconds on the monotonic clock.
    """

    name: str
    step: int
    phase: Phase
    expected_ms: float
    failures: int = 0
    run: int = 0
    agent_id: str = ""
    agent_incarnation: str = ""
    pool: str = ""
    avoid: tuple[str, ...] = ()
    request_id: str = ""
    was_rescheduled: bool = False
    dispatched_at: float = 0.0


@attrs.define(slots=True, eq=False)
class Job:
    """One job; times are in seconds on the monotonic clock.

    `late_deadline` is until when it may wait for its first start if no capacity is there,
    `critical_path_s` the expected time of its longest chain of steps, `requested_at` when placement
    of any of its tasks was requested last.
    `requests` counts placement requests, `request_ids` are those for the pool of the present route.
    `has_dispatched` is set once a task was dispatched.
    """

    submission: Submission
    arrived_at: float
    task_by_name: dict[str, Task]
    latest_start: float
    late_deadline: float
    deadline: float
    critical_path_s: float
    requested_at: float
    requests: int = 0
    request_ids: set[str] = attrs.Factory(set)
    has_dispatched: bool = False
    first_dispatched_at: float = 0.0

    @property
    def id(self) -> str:
        """Return the job id that the caller chose."""
        return self.submission.job_id

    @property
    def answer_by(self) -> float:
        """Return when the answer has to be sent so that it reaches the caller in time."""
        return self.deadline - ANSWER_MARGIN_S

    @property
    def is_done(self) -> bool:
        """Return whether all tasks are done."""
        return all(task.phase is Phase.DONE for task in self.task_by_name.values())

    def waiting(self) -> list[Task]:
        """Return the tasks that wait for placement."""
        return [task for task in self.task_by_name.values() if task.phase is Phase.WAITING]

    def dispatched(self) -> list[Task]:
        """Return the tasks that were dispatched to an agent and have not ended."""
        return [task for task in self.task_by_name.values() if task.phase is Phase.DISPATCHED]

    def unblock(self) -> list[Task]:
        """Move blocked tasks whose dependencies are done to `WAITING`; return them."""
        tasks = self.task_by_name.values()
        unfinished_steps = {task.step for task in tasks if task.phase is not Phase.DONE}
        ready = []
        for task in tasks:
            after = self.submission.steps[task.step].after
            if task.phase is Phase.BLOCKED and not unfinished_steps.intersection(after):
                task.phase = Phase.WAITING
                ready.append(task)
        return ready

    def move(self, submission: Submission) -> None:
        """Run all tasks again in the pool of another route, once those in progress have ended."""
        self.submission = submission
        self.request_ids.clear()
        for task in self.task_by_name.values():
            if task.phase is not Phase.DISPATCHED:
                task.phase = Phase.BLOCKED

    def request_placement(self, tasks: list[Task], entry_id: str) -> _job_queue.TaskBatch:
        """Return a new placement request for some of the tasks."""
        self.requests += 1
        request_id = f"{self.id}/{self.requests}"
        self.request_ids.add(request_id)
        for task in tasks:
            task.request_id = request_id
        longest_s = max(task.expected_ms for task in tasks) / 1000
        start_deadline = self.answer_by - longest_s - START_MARGIN_S
        return _job_queue.TaskBatch(
            id=request_id,
            entry_id=entry_id,
            job_id=self.id,
            pool=self.submission.route.pool,
            priority=self.submission.route.priority,
            demands=sorted((self.demand(task) for task in tasks), key=lambda demand: -demand.cpu),
            latest_start=self.latest_start,
            start_deadline=start_deadline,
            has_started=self.has_dispatched,
            late_deadline=min(self.late_deadline, start_deadline),
            route=self.submission.route.name,
        )

    def demand(self, task: Task) -> _runner_capacity.Demand:
        """Return the resources and placement constraints of a task."""
        step = self.submission.steps[task.step]
        return _runner_capacity.Demand(
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

    def dispatch(
        self, task: Task, agent_id: str, max_wait_ms: int, sent_ms: int
    ) -> _pool_wire.RunTask:
        """Mark a task as dispatched to an agent; return the message that runs it.

        `sent_ms` is the time on the monotonic clock.
        """
        step = self.submission.steps[task.step]
        task.phase = Phase.DISPATCHED
        task.agent_id = agent_id
        task.pool = self.submission.route.pool
        task.run += RUN_STEP
        task.dispatched_at = sent_ms / 1000
        self.has_dispatched = True
        return _pool_wire.RunTask(
            task.name,
            task.run,
            self.id,
            self.submission.payload,
            step.cpu,
            step.memory_mb,
            step.accelerators,
            task.expected_ms,
            max_wait_ms,
            not task.was_rescheduled,
            sent_ms,
            self.submission.route.name,
            step.preferred_rack,
            max(0, round(self.latest_start * 1000) - sent_ms),
            step.max_per_runner,
        )

    def requeue(self, task: Task, *, avoids_agent: bool) -> None:
        """Return a task to `WAITING`; with `avoids_agent`, its agent is avoided from now on."""
        task.phase = Phase.WAITING
        if avoids_agent and task.agent_id not in task.avoid:
            task.avoid = (*task.avoid, task.agent_id)[-MAX_AVOIDED_AGENTS:]
        task.agent_id = ""

    def can_meet_deadline(self, now: float) -> bool:
        """Return whether all waiting tasks, if placed now, could end before the deadline."""
        longest_ms = max((task.expected_ms for task in self.waiting()), default=0.0)
        return now + longest_ms / 1000 < self.answer_by

    def remaining_s(self, now: float) -> float:
        """Return the least time that the unfinished steps are expected to take."""
        left_ms = [0.0] * len(self.submission.steps)
        for task in self.task_by_name.values():
            left_ms[task.step] = max(left_ms[task.step], _remaining_ms(task, now))
        return expected_critical_path_ms(self.submission.steps, left_ms) / 1000

    def can_end_in_time(self, task: Task, started_at: float) -> bool:
        """Return whether a task that is started then could end before the deadline."""
        return started_at + task.expected_ms / 1000 < self.answer_by


def _remaining_ms(task: Task, now: float) -> float:
    match task.phase:
        case Phase.DONE:
            return 0.0
        case Phase.DISPATCHED:
            running_for_ms = (now - task.dispatched_at) * 1000
            return _entry_limits.remaining_run_ms(task.expected_ms, running_for_ms)
        case Phase.BLOCKED | Phase.WAITING:
            return task.expected_ms


def new_job(submission: Submission, expected_ms: list[float], now: float) -> Job:
    """Return a job whose tasks are all blocked; `expected_ms` holds the run time of each step."""
    task_by_name = {}
    for step_index, step in enumerate(submission.steps):
        for index in range(step.count):
            name = f"{submission.job_id}.{step_index}.{index}"
            task_by_name[name] = Task(name, step_index, Phase.BLOCKED, expected_ms[step_index])
    critical_path_s = expected_critical_path_ms(submission.steps, expected_ms) / 1000
    route = submission.route
    objective_s = route.stretch * critical_path_s + route.target_latency_ms / 1000
    slack_s = objective_s - critical_path_s - START_MARGIN_S
    late_slack_s = MAX_LATE_FACTOR * objective_s - critical_path_s - START_MARGIN_S
    deadline = now + submission.wait_s
    last_start = deadline - critical_path_s - ANSWER_MARGIN_S - START_MARGIN_S
    return Job(
        submission,
        arrived_at=now,
        task_by_name=task_by_name,
        latest_start=min(now + slack_s, last_start),
        late_deadline=now + min(MAX_LATE_WAIT_FRACTION * submission.wait_s, late_slack_s),
        deadline=deadline,
        critical_path_s=critical_path_s,
        requested_at=now,
    )


def expected_critical_path_ms(steps: tuple[Step, ...], expected_ms: list[float]) -> float:
    """Return the expected duration of the longest chain of dependent steps."""
    finish_ms_by_step: dict[int, float] = {}

    def finish_ms(step_index: int) -> float:
        if step_index not in finish_ms_by_step:
            start_ms = max(
                (finish_ms(dependency) for dependency in steps[step_index].after), default=0.0
            )
            finish_ms_by_step[step_index] = start_ms + expected_ms[step_index]
        return finish_ms_by_step[step_index]

    return max(finish_ms(step_index) for step_index in range(len(steps)))
