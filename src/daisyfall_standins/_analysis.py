"""Pure functions that analyse measurements: response ratios, gaps, line fits and audits."""

import heapq
import itertools
import statistics

import attrs
from hdrh import histogram

from daisyfall_standins import _workload, load

_MAX_TRACKED_RATIO = 10_000_000  # in thousandths


@attrs.frozen
class ResponseRatios:
    """Percentiles of response time divided by ideal time, over complete jobs."""

    p50: float
    p99: float
    max: float


@attrs.frozen
class LinearFit:
    """A line fitted to measured points; `residual` is the largest vertical distance of a point."""

    slope: float
    intercept: float
    residual: float


def response_ratios(records: list[load.JobRecord]) -> ResponseRatios | None:
    """Return the response ratios, None if no job is complete."""
    complete = [each for each in records if each.outcome is load.Outcome.COMPLETE]
    if not complete:
        return None
    recorder = histogram.HdrHistogram(1, _MAX_TRACKED_RATIO, 3)
    for each in complete:
        recorder.record_value(max(1, round(each.response_ms / each.ideal_ms * 1000)))
    values = [recorder.get_value_at_percentile(percent) / 1000 for percent in (50, 99, 100)]
    return ResponseRatios(*values)


def offered_load(jobs: list[_workload.Job], seconds: float, slots: int) -> float:
    """Return the total run time of the jobs as a share of the slots' capacity in `seconds`."""
    work_ms = sum(task.payload["run_ms"] for job in jobs for task in job.tasks)
    return work_ms / 1000 / seconds / slots


def simulate_ratios(jobs: list[_workload.Job], slots: int, round_trip_ms: float) -> ResponseRatios:
    """Return the ratios of a simulated dispatcher that has a single queue and no overhead.

    It takes jobs in order of arrival and the longest tasks of a job first. The result shows
    how much of a measured ratio is caused by the load itself.
    """
    slot_free_at = [0.0] * slots
    records = []
    for job in jobs:
        arrival_ms = job.arrival_seconds * 1000
        job_end = arrival_ms
        for run_ms in sorted((task.payload["run_ms"] for task in job.tasks), reverse=True):
            task_end = max(arrival_ms, heapq.heappop(slot_free_at)) + run_ms
            heapq.heappush(slot_free_at, task_end)
            job_end = max(job_end, task_end)
        ideal = job.ideal_ms(slots, round_trip_ms)
        record = load.JobRecord("", job.buyer.name, [], ideal, job_end - arrival_ms + round_trip_ms)
        record.outcome = load.Outcome.COMPLETE
        records.append(record)
    return response_ratios(records)


def longest_gap(end_times: list[float]) -> float:
    """Return the longest time between consecutive answers, 0 for less than two."""
    ordered = sorted(end_times)
    gaps = [later - earlier for earlier, later in itertools.pairwise(ordered)]
    return max(gaps, default=0.0)


def slowest_resubmission(records: list[load.JobRecord]) -> float:
    """Return the longest time from a job's first broken connection to its end, in seconds."""
    times = [
        each.ended_seconds - each.first_broken_seconds
        for each in records
        if each.first_broken_seconds is not None
    ]
    return max(times, default=0.0)


def counter_increases(after: dict[str, float], before: dict[str, float]) -> dict[str, float]:
    """Return the increase of each counter that changed.

    A counter that went down was reset by a process restart, so its new value is the increase.
    """
    increases = {key: after[key] - before.get(key, 0) for key in after}
    return {key: value if value >= 0 else after[key] for key, value in increases.items() if value}


def linear_fit(points: list[tuple[float, float]]) -> LinearFit:
    """Fit a least-squares line; raise `ValueError` for less than three points."""
    if len(points) < 3:
        raise ValueError(f"a fit needs at least 3 points, found {len(points)}")
    xs, ys = zip(*points, strict=True)
    slope, intercept = statistics.linear_regression(xs, ys)
    residuals = [abs(y - slope * x - intercept) for x, y in points]
    return LinearFit(slope, intercept, max(residuals))


def audit(records: list[load.JobRecord], starts_by_token: dict[str, int]) -> dict[str, int]:
    """Return the number of violations of each guarantee; all must be 0."""
    start_audit = load.audit(records, starts_by_token)
    incorrect = [each for each in records if each.outcome is load.Outcome.INCORRECT]
    return {
        "started_twice": len(start_audit.started_twice),
        "partial_answers": len(incorrect) + len(start_audit.complete_without_start),
        "not_run_but_ran": len(start_audit.started_though_not_run),
        "started_before_refusal": len(start_audit.started_before_refusal),
    }
