"""What the scheduler would decide about a request now, and why, without any effect.

The decision is tried on a copy of the pool by the scheduler's own code, so that an explanation
can't differ from what a request would get. Copying takes some microseconds for each runner,
allocation order and queued job of the pool; it is meant for operators, not for requests.
"""

import copy
from collections.abc import Iterator

import attrs

from daisyfall.policy import _job_queue, _scheduler

PLACED = "placed"
WAITS = "waits"
REFUSED = "refused"


@attrs.frozen
class TaskExplanation:
    """Where one task would go: `runner` is empty if it would wait.

    `free_cpu` of the runner's `cpu` would be free before it starts, both in thousandths of a core.
    `count_by_obstacle` tells how many runners of the pool can't get the task and why; `""` counts
    those that can. For a task that would wait it holds once the others have started.
    """

    task: str
    runner: str
    free_cpu: int
    cpu: int
    count_by_obstacle: dict[str, int]


@attrs.frozen
class Explanation:
    """Outcome for a request: `placed` if all its tasks would start now, `waits` or `refused`.

    `reason` and `retry_after_s` are those of a refusal. `work_ahead_s` is the time that the
    queued work before the request takes on the `cores` that its route may use;
    `start_within_s` the time until its latest start.
    """

    outcome: str
    reason: str
    retry_after_s: float
    cores: float
    queued: int
    work_ahead_s: float
    start_within_s: float
    tasks: tuple[TaskExplanation, ...]


def explain(
    scheduler: _scheduler.Scheduler, batch: _job_queue.TaskBatch, now: float
) -> Explanation:
    """Return what `scheduler.submit` would do with a batch at this time, in seconds."""
    trial = scheduler.copy_of_pool(batch.pool)
    cores = trial.cores(batch.pool, batch.route)
    work_ahead = trial.work_ahead(batch)
    before = scheduler.copy_of_pool(batch.pool)
    requested = copy.copy(batch)
    refusal = None
    runner_by_task: dict[str, str] = {}
    for decision in trial.submit(requested, now):
        match decision:
            case _scheduler.Placement(tried, placed) if tried is requested:
                runner_by_task |= placed
            case _scheduler.Refusal(tried) if tried is requested:
                refusal = decision
    return Explanation(
        REFUSED if refusal else WAITS if requested.demands else PLACED,
        refusal.reason if refusal else "",
        refusal.retry_after_s if refusal else 0.0,
        cores,
        scheduler.queued,
        work_ahead / cores if cores else 0.0,
        batch.latest_start - now,
        tuple(_explain_tasks(before, trial, batch, runner_by_task, now, is_refused=bool(refusal))),
    )


def _explain_tasks(
    before: _scheduler.Scheduler,
    after: _scheduler.Scheduler,
    batch: _job_queue.TaskBatch,
    runner_by_task: dict[str, str],
    now: float,
    *,
    is_refused: bool,
) -> Iterator[TaskExplanation]:
    candidates_before = before.candidates(batch.pool, now)
    candidates_after = after.candidates(batch.pool, now)
    for demand in batch.demands:
        runner = before.runner_by_id.get(runner_by_task.get(demand.task, ""))
        if runner is None:
            candidates = candidates_before if is_refused else candidates_after
            obstacles = candidates.count_obstacles(demand, batch.route)
            yield TaskExplanation(demand.task, "", 0, 0, obstacles)
        else:
            obstacles = candidates_before.count_obstacles(demand, batch.route)
            yield TaskExplanation(demand.task, runner.id, runner.free_cpu, runner.cpu, obstacles)
            candidates_before.allocate(runner, demand)
