"""Admission control: jobs that are refused on arrival, before any of their tasks has run."""

import math

import attrs

from daisyfall import errors
from daisyfall.request import _estimates, _groups, _queue, _routing, _work

Kind = errors.Kind
# Tolerance for the rounding of deadlines that are passed between processes.
_DEADLINE_SLACK_S = 0.002
# An upstream that was removed this recently is expected to return: work that needs it is refused
# as having no upstream now, not as impossible.
_RECONNECT_S = 60.0


@attrs.frozen
class AdmissionRequest:
    """A job at admission, with its estimated run times.

    `estimated_ms` is the total and `longest_ms` the longest of the tasks whose kind has
    statistics.
    """

    work: _work.Work
    buyer: _queue.Buyer
    estimated_ms: float
    longest_ms: float
    now: float

    @property
    def remaining_s(self) -> float:
        """Return the time until the deadline."""
        return self.work.deadline - self.now


def queue_entry(buyer: str, task: _work.Task, estimates: _estimates.Estimates) -> _queue.QueueEntry:
    """Return the queue entry of one task."""
    return estimate_tasks(buyer, [task], estimates)[0][0]


def estimate_tasks(
    buyer: str, tasks: list[_work.Task], estimates: _estimates.Estimates
) -> tuple[list[_queue.QueueEntry], float, float]:
    """Return the queue entries, and the total and longest time in ms of kinds with statistics."""
    stats_by_kind: dict[str, _estimates.KindStats | None] = {}
    entries = []
    total_ms = longest_ms = 0.0
    for task in tasks:
        kind = task.kind
        if kind in stats_by_kind:
            kind_stats = stats_by_kind[kind]
        else:
            kind_stats = stats_by_kind[kind] = estimates.find(buyer, kind)
        if kind_stats is None:
            counted_ms = estimates.counted_ms(task.run_ms)
            order_ms = max(task.run_ms, _estimates.DEFAULT_RUN_MS)
            entries.append((order_ms, task.run_ms, -task.index, counted_ms, task))
            continue
        run_ms = kind_stats.predict(task.run_ms)
        entries.append((run_ms, task.run_ms, -task.index, run_ms, task))
        total_ms += run_ms
        longest_ms = max(longest_ms, run_ms)
    return entries, total_ms, longest_ms


def check(
    request: AdmissionRequest, queue: _queue.FairQueue, router: _routing.Router, queue_tasks: int
) -> None:
    """Raise `DispatchError` if the job can't be accepted."""
    _check_plan(request)
    check_upstreams(request, router)
    _check_queue(request, queue, queue_tasks)
    _check_deadline(request, queue)


def _check_plan(request: AdmissionRequest) -> None:
    allowance = request.buyer.usage.allowance
    count = len(request.work.tasks)
    if count > allowance.largest_job_tasks:
        raise errors.DispatchError(
            Kind.LIMIT_JOB_SIZE,
            field="tasks",
            value=count,
            expected=f"at most {allowance.largest_job_tasks}",
        )
    if request.remaining_s > allowance.longest_deadline_ms / 1000.0 + _DEADLINE_SLACK_S:
        raise errors.DispatchError(
            Kind.LIMIT_DEADLINE,
            field="deadline_ms",
            value=math.ceil(request.remaining_s * 1000.0),
            expected=f"at most {allowance.longest_deadline_ms}",
        )
    if allowance.starts_per_second <= 0:
        raise errors.DispatchError(Kind.LIMIT_RATE, "the plan allows no task starts")
    if min(allowance.tasks_in_flight, allowance.slots) <= 0:
        raise errors.DispatchError(Kind.LIMIT_IN_FLIGHT, "the plan allows no task in flight")


def check_upstreams(request: AdmissionRequest, router: _routing.Router) -> None:
    """Raise `DispatchError` if no upstream that the plan allows could ever run a task."""
    if not router.agent_by_id:
        raise errors.DispatchError(Kind.NO_UPSTREAM)
    allowance = request.buyer.usage.allowance
    groups = request.buyer.pool.groups
    task_by_resources = {(task.memory_mb, task.accelerators): task for task in request.work.tasks}
    for task in task_by_resources.values():
        if task.accelerators > allowance.accelerators:
            raise errors.DispatchError(
                Kind.IMPOSSIBLE,
                f"task {task.index} needs more accelerators than the plan has",
                field="accelerators",
                value=task.accelerators,
                expected=f"at most {allowance.accelerators}",
            )
        capable_groups = [group for group in groups if _groups.fits(group, task)]
        if any(group.members for group in capable_groups):
            continue
        if any(request.now - group.emptied_at < _RECONNECT_S for group in capable_groups):
            raise errors.DispatchError(Kind.NO_UPSTREAM)
        raise errors.DispatchError(
            Kind.IMPOSSIBLE,
            f"no upstream of the plan has {task.memory_mb} MB and {task.accelerators} "
            f"accelerators for task {task.index}",
        )


def _check_queue(request: AdmissionRequest, queue: _queue.FairQueue, queue_tasks: int) -> None:
    """Refuse jobs beyond the buyer's share of the queue.

    A buyer may queue up to (1 + priority) times the free space, so that a burst always leaves
    space for others, and buyers of lower priority are refused first.
    """
    count = len(request.work.tasks)
    free = queue_tasks - queue.queued
    share = (1.0 + request.buyer.weight) * free
    if count > free or (request.buyer.queued and request.buyer.queued + count > share):
        raise errors.DispatchError(
            Kind.QUEUE_FULL, f"{queue.queued} of at most {queue_tasks} tasks are queued"
        )


def _check_deadline(request: AdmissionRequest, queue: _queue.FairQueue) -> None:
    buyer, remaining_s = request.buyer, request.remaining_s
    usage = buyer.usage
    count = buyer.queued + len(request.work.tasks)
    longest_s = request.longest_ms / 1000.0
    if remaining_s <= longest_s:
        raise errors.DispatchError(
            Kind.DEADLINE_UNREACHABLE,
            f"the longest task takes {request.longest_ms:.0f} ms by what was learnt, "
            f"{max(0.0, remaining_s) * 1000.0:.0f} ms are left",
        )
    if usage.rate_wait_s(count) + longest_s > remaining_s:
        raise errors.DispatchError(Kind.LIMIT_RATE)
    allowance = usage.allowance
    buyer_ms = buyer.queued_ms + request.estimated_ms
    max_parallel = min(allowance.tasks_in_flight, allowance.slots)
    if buyer_ms / max_parallel / 1000.0 > remaining_s:
        raise errors.DispatchError(Kind.LIMIT_IN_FLIGHT)
    slots = buyer.pool.slots()
    if not slots:
        return  # no slot is usable now; the job waits for one until its deadline
    # The buyer gets at least its share of the slots, and all that others leave unused.
    weight = queue.active_weight + (0.0 if buyer.queued else buyer.weight)
    share_ms = buyer_ms * weight / buyer.weight
    total_ms = queue.queued_ms + request.estimated_ms
    if min(share_ms, total_ms) / slots / 1000.0 > remaining_s:
        raise errors.DispatchError(Kind.DEADLINE_UNREACHABLE)
