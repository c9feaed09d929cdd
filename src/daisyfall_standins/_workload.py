"""Jobs of a load: a pure function of the shape and its seed."""

import math
import random

import attrs


@attrs.frozen
class Buyer:
    """One buyer and the secret of its bearer token."""

    name: str
    secret: str

    @property
    def token(self) -> str:
        """Return the bearer token."""
        return f"{self.name}.{self.secret}"


@attrs.frozen
class TaskKind:
    """A kind of task: run times are log-uniform between `typical_ms` / `spread` and * `spread`.

    What buyers declare is off by a factor of their own for each kind, up to
    `declared_factor`, as estimates that nobody corrects are.
    """

    name: str
    typical_ms: float
    spread: float = 1.3
    weight: float = 1.0
    declared_error_factor: float = 3.0

    @property
    def run_ms(self) -> tuple[float, float]:
        """Return the bounds of the run times."""
        return (self.typical_ms / self.spread, self.typical_ms * self.spread)


@attrs.frozen
class LoadShape:
    """A load, bounded by `jobs` and by arrivals within `seconds`.

    Run times are log-uniform in `run_ms`, but for `long_share` of the tasks in
    `long_ms`. Declared run times are off by a log-uniform factor between
    1/`declared_factor` and `declared_factor`. Jobs arrive in groups of `burst`
    at once, the groups as a Poisson process.
    """

    buyers: list[Buyer]
    jobs: int = 100
    seconds: float = 10.0
    jobs_per_second: float = 10.0
    burst: int = 1
    weight_by_tasks: dict[int, float] = attrs.Factory(lambda: {1: 0.2, 4: 0.4, 16: 0.3, 64: 0.1})
    run_ms: tuple[float, float] = (50.0, 1000.0)
    long_task_share: float = 0.02
    long_run_ms: tuple[float, float] = (2000.0, 5000.0)
    declared_error_factor: float = 1.0
    deadline_ms: int = 60_000
    slots: int = 88  # that one job may use
    round_trip_ms: float = 1.0  # sum of the round trips of one job
    kind: str = "load"
    kinds: tuple[TaskKind, ...] = ()  # take the place of `kind`, `run_ms` and `long_ms`
    memory_mb: int = 0
    echoes: bool = True  # False: a null runner, whose results carry nothing to check
    seed: int = 0

    @property
    def mean_work_ms(self) -> float:
        """Return the expected work of one job."""
        weights = self.weight_by_tasks
        tasks = sum(count * weight for count, weight in weights.items()) / sum(weights.values())
        if self.kinds:
            total = sum(kind.weight for kind in self.kinds)
            means = [_log_uniform_mean(kind.run_ms) * kind.weight for kind in self.kinds]
            return tasks * sum(means) / total
        short = _log_uniform_mean(self.run_ms) * (1 - self.long_task_share)
        return tasks * (short + _log_uniform_mean(self.long_run_ms) * self.long_task_share)

    def with_utilization(self, load: float, slots: int) -> "Shape":
        """Return the shape at a rate that keeps `load` (0 to 1) of the slots busy."""
        if self.mean_work_ms == 0:
            raise ValueError(f"run_ms {self.run_ms} has no work, so no rate gives load {load}")
        return attrs.evolve(self, jobs_per_second=load * slots / self.mean_work_ms * 1000)


@attrs.frozen
class Task:
    """One task; the payload holds `run_ms` and `token`, the buyer's own identity of the work.

    A runner echoes the payload as the result.
    """

    kind: str
    payload: dict
    declared_ms: int
    memory_mb: int = 0
    accelerators: int = 0

    @property
    def token(self) -> str:
        """Return the token."""
        return self.payload["token"]

    def as_body(self) -> dict:
        """Return the task's item in a submission."""
        return {
            "kind": self.kind,
            "payload": self.payload,
            "run_ms": self.declared_ms,
            "memory_mb": self.memory_mb,
            "accelerators": self.accelerators,
        }


@attrs.frozen
class Job:
    """One job and its arrival, in seconds since the start of the load."""

    arrival_seconds: float
    buyer: Buyer
    deadline_ms: int
    tasks: list[Task]

    def ideal_ms(self, slots: int, round_trip_ms: float) -> float:
        """Return the larger of the longest task and the work by slots, plus the round trips."""
        runs = [task.payload["run_ms"] for task in self.tasks]
        return max(*runs, sum(runs) / slots) + round_trip_ms

    def as_body(self, job_id: str) -> dict:
        """Return the body of `POST /v1/jobs`."""
        tasks = [task.as_body() for task in self.tasks]
        return {"job_id": job_id, "deadline_ms": self.deadline_ms, "tasks": tasks}


def generate(shape: LoadShape, run_id: str) -> list[Job]:
    """Return the jobs in order of arrival; `run_id` makes the tokens unique between runs."""
    source = random.Random(shape.seed)
    sizes, weights = zip(*shape.weight_by_tasks.items(), strict=True)
    jobs: list[Job] = []
    at = 0.0
    while len(jobs) < shape.jobs:
        at += source.expovariate(shape.jobs_per_second / shape.burst)
        if at > shape.seconds:
            break
        for _ in range(min(shape.burst, shape.jobs - len(jobs))):
            number = len(jobs)
            size = source.choices(sizes, weights)[0]
            if shape.kinds:
                jobs.append(_new_job(shape, source, at, size, f"{run_id}/{number}"))
                continue
            tasks = [_new_task(shape, source, f"{run_id}/{number}/{i}") for i in range(size)]
            jobs.append(Job(at, source.choice(shape.buyers), shape.deadline_ms, tasks))
    return jobs


def _new_job(shape: LoadShape, source: random.Random, at: float, size: int, name: str) -> Job:
    """Return a job of tasks of several kinds."""
    buyer = source.choice(shape.buyers)
    weights = [kind.weight for kind in shape.kinds]
    tasks = []
    for index in range(size):
        kind = source.choices(shape.kinds, weights)[0]
        run_ms = round(_log_uniform(source, kind.run_ms), 3)
        bias = random.Random(f"{shape.seed}/{buyer.name}/{kind.name}")
        declared = kind.typical_ms * _log_uniform(
            bias, (1 / kind.declared_error_factor, kind.declared_error_factor)
        )
        payload = {"token": f"{name}/{index}", "run_ms": run_ms}
        tasks.append(Task(kind.name, payload, max(1, round(declared)), shape.memory_mb))
    return Job(at, buyer, shape.deadline_ms, tasks)


def _new_task(shape: LoadShape, source: random.Random, token: str) -> Task:
    bounds = shape.long_run_ms if source.random() < shape.long_task_share else shape.run_ms
    run_ms = round(_log_uniform(source, bounds), 3)
    factor = _log_uniform(source, (1 / shape.declared_error_factor, shape.declared_error_factor))
    payload = {"token": token, "run_ms": run_ms}
    return Task(shape.kind, payload, max(1, round(run_ms * factor)), shape.memory_mb)


def _log_uniform(source: random.Random, bounds: tuple[float, float]) -> float:
    low, high = bounds
    return low if low == high else math.exp(source.uniform(math.log(low), math.log(high)))


def _log_uniform_mean(bounds: tuple[float, float]) -> float:
    low, high = bounds
    return low if low == high else (high - low) / math.log(high / low)
