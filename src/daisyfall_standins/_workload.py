"""Generates the jobs of a load, deterministically from the load shape and its seed."""

import math
import random

import attrs


@attrs.frozen
class Buyer:
    """A buyer and the secret part of its bearer token."""

    name: str
    secret: str

    @property
    def token(self) -> str:
        """Return the bearer token."""
        return f"{self.name}.{self.secret}"


@attrs.frozen
class TaskKind:
    """A task kind; run times are log-uniform, `typical_ms` / `spread` to `typical_ms` * `spread`.

    The run time that a buyer declares is wrong by a constant factor for each buyer and kind,
    at most `declared_error_factor`. This models estimates that are never corrected.
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
    """Parameters of a load: at most `jobs` jobs that arrive within `seconds`.

    Run times are log-uniform within `run_ms`; a share `long_task_share` of the tasks takes
    them from `long_run_ms` instead. Declared run times are wrong by a log-uniform factor from
    1/`declared_error_factor` to `declared_error_factor`. Jobs arrive in bursts of `burst`
    jobs, and the bursts form a Poisson process.
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
    slots: int = 88  # slots available to one job
    round_trip_ms: float = 1.0  # total of all network round trips of one job
    kind: str = "load"
    kinds: tuple[TaskKind, ...] = ()  # if set, used instead of `kind`, `run_ms` and `long_run_ms`
    memory_mb: int = 0
    echoes_payload: bool = True  # False: null runner, its results can't be verified
    seed: int = 0

    @property
    def mean_work_ms(self) -> float:
        """Return the expected total run time of the tasks of one job."""
        weights = self.weight_by_tasks
        tasks = sum(count * weight for count, weight in weights.items()) / sum(weights.values())
        if self.kinds:
            total = sum(kind.weight for kind in self.kinds)
            means = [_log_uniform_mean(kind.run_ms) * kind.weight for kind in self.kinds]
            return tasks * sum(means) / total
        short = _log_uniform_mean(self.run_ms) * (1 - self.long_task_share)
        return tasks * (short + _log_uniform_mean(self.long_run_ms) * self.long_task_share)

    def with_utilization(self, utilization: float, slots: int) -> "LoadShape":
        """Return the shape at the arrival rate that gives the slots a utilization (0 to 1)."""
        if self.mean_work_ms == 0:
            raise ValueError(
                f"run_ms {self.run_ms} has no work, so no rate gives load {utilization}"
            )
        return attrs.evolve(self, jobs_per_second=utilization * slots / self.mean_work_ms * 1000)


@attrs.frozen
class Task:
    """A task; its payload holds `run_ms` and `token`, the buyer's own id of the work.

    The stand-in runner returns the payload as the result.
    """

    kind: str
    payload: dict
    declared_ms: int
    memory_mb: int = 0
    accelerators: int = 0

    @property
    def token(self) -> str:
        """Return the buyer's id of the work."""
        return self.payload["token"]

    def as_body(self) -> dict:
        """Return the task as an item of the body of `POST /v1/jobs`."""
        return {
            "kind": self.kind,
            "payload": self.payload,
            "run_ms": self.declared_ms,
            "memory_mb": self.memory_mb,
            "accelerators": self.accelerators,
        }


@attrs.frozen
class Job:
    """A job and its arrival time, in seconds since the start of the load."""

    arrival_seconds: float
    buyer: Buyer
    deadline_ms: int
    tasks: list[Task]

    def ideal_ms(self, slots: int, round_trip_ms: float) -> float:
        """Return the lower bound of the response time without queueing.

        It is the longest task or the total work divided by `slots`, whichever is larger, plus
        the round trips.
        """
        runs = [task.payload["run_ms"] for task in self.tasks]
        return max(*runs, sum(runs) / slots) + round_trip_ms

    def as_body(self, job_id: str) -> dict:
        """Return the body of `POST /v1/jobs`."""
        tasks = [task.as_body() for task in self.tasks]
        return {"job_id": job_id, "deadline_ms": self.deadline_ms, "tasks": tasks}


def generate(shape: LoadShape, run_id: str) -> list[Job]:
    """Return the jobs in order of arrival; `run_id` makes tokens unique across runs."""
    rng = random.Random(shape.seed)
    sizes, weights = zip(*shape.weight_by_tasks.items(), strict=True)
    jobs: list[Job] = []
    at = 0.0
    while len(jobs) < shape.jobs:
        at += rng.expovariate(shape.jobs_per_second / shape.burst)
        if at > shape.seconds:
            break
        for _ in range(min(shape.burst, shape.jobs - len(jobs))):
            number = len(jobs)
            size = rng.choices(sizes, weights)[0]
            if shape.kinds:
                jobs.append(_new_job(shape, rng, at, size, f"{run_id}/{number}"))
                continue
            tasks = [_new_task(shape, rng, f"{run_id}/{number}/{i}") for i in range(size)]
            jobs.append(Job(at, rng.choice(shape.buyers), shape.deadline_ms, tasks))
    return jobs


def _new_job(shape: LoadShape, rng: random.Random, at: float, size: int, name: str) -> Job:
    """Return a job whose tasks are drawn from the kinds of the shape."""
    buyer = rng.choice(shape.buyers)
    weights = [kind.weight for kind in shape.kinds]
    tasks = []
    for index in range(size):
        kind = rng.choices(shape.kinds, weights)[0]
        run_ms = round(_log_uniform(rng, kind.run_ms), 3)
        estimate_rng = random.Random(f"{shape.seed}/{buyer.name}/{kind.name}")
        declared_ms = kind.typical_ms * _log_uniform(
            estimate_rng, (1 / kind.declared_error_factor, kind.declared_error_factor)
        )
        payload = {"token": f"{name}/{index}", "run_ms": run_ms}
        tasks.append(Task(kind.name, payload, max(1, round(declared_ms)), shape.memory_mb))
    return Job(at, buyer, shape.deadline_ms, tasks)


def _new_task(shape: LoadShape, rng: random.Random, token: str) -> Task:
    bounds = shape.long_run_ms if rng.random() < shape.long_task_share else shape.run_ms
    run_ms = round(_log_uniform(rng, bounds), 3)
    factor = _log_uniform(rng, (1 / shape.declared_error_factor, shape.declared_error_factor))
    payload = {"token": token, "run_ms": run_ms}
    return Task(shape.kind, payload, max(1, round(run_ms * factor)), shape.memory_mb)


def _log_uniform(rng: random.Random, bounds: tuple[float, float]) -> float:
    low, high = bounds
    return low if low == high else math.exp(rng.uniform(math.log(low), math.log(high)))


def _log_uniform_mean(bounds: tuple[float, float]) -> float:
    low, high = bounds
    return low if low == high else (high - low) / math.log(high / low)
