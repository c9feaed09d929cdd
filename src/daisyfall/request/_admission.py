"""Admission of a job: what is refused at once, as not run."""

import math

import attrs

from daisyfall import errors
from daisyfall.request import _estimates, _groups, _queue, _routing, _work

Kind = errors.Kind
# Rounding of a deadline that is carried between processes.
_DEADLINE_SLACK_S = 0.002
# An upstream that left this recently is expected back, so its work is not called impossible.
_RETURN_S = 60.0


@attrs.frozen
class Request:
    """A job at admission: its tasks' learnt run time in all, and the longest one."""

    work: _work.Work
    buyer: _queue.Buyer
    learnt_ms: float
    longest_ms: float
    now: float

    @property
    def left_s(self) -> float:
        """Return the time to the deadline."""
        return self.work.deadline - self.now


def entry(buyer: str, task: _work.Task, estimates: _estimates.Estimates) -> _queue.QueueEntry:
    """Return the queue entry of one task."""
    return measure_tasks(buyer, [task], estimates)[0][0]


def measure_tasks(
    buyer: str, tasks: list[_work.Task], estimates: _estimates.Estimates
) -> tuple[list[_queue.QueueEntry], float, float]:
    """Return the queue entries, the total learnt run time and the longest one in ms."""
    record_by_kind: dict[str, _estimates.Record | None] = {}
    entries = []
    total_ms = longest_ms = 0.0
    for task in tasks:
        kind = task.kind
        if kind in record_by_kind:
            kind_stats = record_by_kind[kind]
        else:
            kind_stats = record_by_kind[kind] = estimates.find(buyer, kind)
        if kind_stats is None:
            counted = estimates.counted_ms(task.run_ms)
            placed = max(task.run_ms, _estimates.UNLEARNT_MS)
            entries.append((placed, task.run_ms, -task.index, counted, task))
            continue
        learnt = kind_stats.predict(task.run_ms)
        entries.append((learnt, task.run_ms, -task.index, learnt, task))
        total_ms += learnt
        longest_ms = max(longest_ms, learnt)
    return entries, total_ms, longest_ms


def check(
    request: Request, queue: _queue.FairQueue, router: _routing.Router, queue_tasks: int
) -> None:
    """Raise `DispatchError` if the job can't be accepted."""
    _check_plan(request)
    check_upstreams(request, router)
    _check_queue(request, queue, queue_tasks)
    _check_deadline(request, queue)


def _check_plan(request: Request) -> None:
    allowance = request.buyer.usage.allowance
    count = len(request.work.tasks)
    if count > allowance.largest_job_tasks:
        raise errors.DispatchError(
            Kind.LIMIT_JOB_SIZE,
            field="tasks",
            value=count,
            expected=f"at most {allowance.largest_job_tasks}",
        )
    if request.left_s > allowance.longest_deadline_ms / 1000.0 + _DEADLINE_SLACK_S:
        raise errors.DispatchError(
            Kind.LIMIT_DEADLINE,
            field="deadline_ms",
            value=math.ceil(request.left_s * 1000.0),
            expected=f"at most {allowance.longest_deadline_ms}",
        )
    if allowance.starts_per_second <= 0:
        raise errors.DispatchError(Kind.LIMIT_RATE, "the plan allows no task starts")
    if min(allowance.tasks_in_flight, allowance.slots) <= 0:
        raise errors.DispatchError(Kind.LIMIT_IN_FLIGHT, "the plan allows no task in flight")


def check_upstreams(request: Request, router: _routing.Router) -> None:
    """Raise `DispatchError` if no upstream that the plan allows could ever run a task."""
    if not router.agent_by_id:
        raise errors.DispatchError(Kind.NO_UPSTREAM)
    allowance = request.buyer.usage.allowance
    groups = request.buyer.pool.groups
    needs = {(task.memory_mb, task.accelerators): task for task in request.work.tasks}
    for task in needs.values():
        if task.accelerators > allowance.accelerators:
            raise errors.DispatchError(
                Kind.IMPOSSIBLE,
                f"task {task.index} needs more accelerators than the plan has",
                field="accelerators",
                value=task.accelerators,
                expected=f"at most {allowance.accelerators}",
            )
        able = [group for group in groups if _groups.fits(group, task)]
        if any(group.members for group in able):
            continue
        if any(request.now - group.left_at < _RETURN_S for group in able):
            raise errors.DispatchError(Kind.NO_UPSTREAM)
        raise errors.DispatchError(
            Kind.IMPOSSIBLE,
            f"no upstream of the plan has {task.memory_mb} MB and {task.accelerators} "
            f"accelerators for task {task.index}",
        )


def _check_queue(request: Request, queue: _queue.FairQueue, queue_tasks: int) -> None:
    """Refuse work beyond the buyer's part of the queue.

    A buyer may queue (1 + priority) times the free space, so that a burst always leaves space
    for others, and the lower priority is refused first.
    """
    count = len(request.work.tasks)
    free = queue_tasks - queue.queued
    share = (1.0 + request.buyer.weight) * free
    if count > free or (request.buyer.queued and request.buyer.queued + count > share):
        raise errors.DispatchError(
            Kind.QUEUE_FULL, f"{queue.queued} of at most {queue_tasks} tasks are queued"
        )


def _check_deadline(request: Request, queue: _queue.FairQueue) -> None:
    buyer, left_s = request.buyer, request.left_s
    usage = buyer.usage
    count = buyer.queued + len(request.work.tasks)
    longest_s = request.longest_ms / 1000.0
    if left_s <= longest_s:
        raise errors.DispatchError(
            Kind.DEADLINE_UNREACHABLE,
            f"the longest task takes {request.longest_ms:.0f} ms by what was learnt, "
            f"{max(0.0, left_s) * 1000.0:.0f} ms are left",
        )
    if usage.rate_wait(count) + longest_s > left_s:
        raise errors.DispatchError(Kind.LIMIT_RATE)
    allowance = usage.allowance
    own_ms = buyer.queued_ms + request.learnt_ms
    limit = min(allowance.tasks_in_flight, allowance.slots)
    if own_ms / limit / 1000.0 > left_s:
        raise errors.DispatchError(Kind.LIMIT_IN_FLIGHT)
    slots = buyer.pool.slots()
    if not slots:
        return  # none is usable now; the work waits for one until its deadline
    # The buyer gets at least its share of the slots, and all of what others leave.
    weight = queue.active_weight + (0.0 if buyer.queued else buyer.weight)
    by_share = own_ms * weight / buyer.weight
    by_total = queue.queued_ms + request.learnt_ms
    if min(by_share, by_total) / slots / 1000.0 > left_s:
        raise errors.DispatchError(Kind.DEADLINE_UNREACHABLE)
