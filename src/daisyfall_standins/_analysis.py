"""Arithmetic of the measurements: ratios, gaps, fits; pure functions."""

import heapq
import itertools
import statistics

import attrs
from hdrh import histogram

from daisyfall_standins import _workload, load

_HIGHEST_RATIO = 10_000_000  # in thousandths


@attrs.frozen
class ResponseRatios:
    """Response time over ideal of the complete jobs."""

    p50: float
    p99: float
    max: float


@attrs.frozen
class LinearFit:
    """A line through measured points, and its largest distance from one of them."""

    slope: float
    intercept: float
    residual: float


def response_ratios(records: list[load.JobRecord]) -> ResponseRatios | None:
    """Return the percentiles over the complete jobs, None without any."""
    complete = [each for each in records if each.outcome is load.Outcome.COMPLETE]
    if not complete:
        return None
    recorder = histogram.HdrHistogram(1, _HIGHEST_RATIO, 3)
    for each in complete:
        recorder.record_value(max(1, round(each.response_ms / each.ideal_ms * 1000)))
    values = [recorder.get_value_at_percentile(percent) / 1000 for percent in (50, 99, 100)]
    return ResponseRatios(*values)


def offered_load(jobs: list[_workload.Job], seconds: float, slots: int) -> float:
    """Return the work of the jobs as a share of what the slots can do in the time."""
    work_ms = sum(task.payload["run_ms"] for job in jobs for task in job.tasks)
    return work_ms / 1000 / seconds / slots


def simulate_ratios(jobs: list[_workload.Job], slots: int, round_trip_ms: float) -> ResponseRatios:
    """Return the ratios of one queue without overhead: jobs in order of arrival, long tasks first.

    It shows how much of a measured ratio comes from the load itself.
    """
    free = [0.0] * slots
    records = []
    for job in jobs:
        at = job.arrival_seconds * 1000
        end = at
        for run_ms in sorted((task.payload["run_ms"] for task in job.tasks), reverse=True):
            done = max(at, heapq.heappop(free)) + run_ms
            heapq.heappush(free, done)
            end = max(end, done)
        ideal = job.ideal_ms(slots, round_trip_ms)
        record = load.JobRecord("", job.buyer.name, [], ideal, end - at + round_trip_ms)
        record.outcome = load.Outcome.COMPLETE
        records.append(record)
    return response_ratios(records)


def longest_gap(ends: list[float]) -> float:
    """Return the longest time between two answers in a row, 0 for less than two."""
    ordered = sorted(ends)
    gaps = [late - early for early, late in itertools.pairwise(ordered)]
    return max(gaps, default=0.0)


def slowest_resubmission(records: list[load.JobRecord]) -> float:
    """Return the longest time from a job's first broken attempt to its end, in seconds."""
    times = [
        each.ended_seconds - each.first_broken_seconds
        for each in records
        if each.first_broken_seconds is not None
    ]
    return max(times, default=0.0)


def counter_increases(after: dict[str, float], before: dict[str, float]) -> dict[str, float]:
    """Return the growth by key; a restarted process begins again at 0, so none is negative."""
    growth = {key: after[key] - before.get(key, 0) for key in after}
    return {key: value if value >= 0 else after[key] for key, value in growth.items() if value}


def linear_fit(points: list[tuple[float, float]]) -> LinearFit:
    """Return the least-squares line; raise `ValueError` for less than three points."""
    if len(points) < 3:
        raise ValueError(f"a fit needs at least 3 points, found {len(points)}")
    xs, ys = zip(*points, strict=True)
    slope, intercept = statistics.linear_regression(xs, ys)
    distances = [abs(y - slope * x - intercept) for x, y in points]
    return LinearFit(slope, intercept, max(distances))


def audit(records: list[load.JobRecord], starts_by_token: dict[str, int]) -> dict[str, int]:
    """Return the counts that must be 0 by the guarantees."""
    found = load.audit(records, starts_by_token)
    wrong = [each for each in records if each.outcome is load.Outcome.INCORRECT]
    return {
        "started_twice": len(found.started_twice),
        "partial_answers": len(wrong) + len(found.complete_without_start),
        "not_run_but_ran": len(found.started_though_not_run),
        "started_before_refusal": len(found.started_before_refusal),
    }
