"""`make measure`: run one scenario against a complete deployment and print the results.

The last line of the output is a JSON object with all results. The tool starts all
processes on this machine and stops them when the scenario has ended.
"""

import asyncio
import json
import os
import sys
import time

import attrs
import fire
import tabulate

from daisyfall_standins import _analysis, _capacity_scenarios, _scenarios, _testbed, load, processes

SECONDS = 15.0
IDLE_SECONDS = 3.0


def run(
    *,
    scenario: str = "steady",
    seed: int = 1,
    policy: str = "late_binding",
    deployment: str = "cooperative",
    seconds: float = SECONDS,
    follow_owner: bool = True,
    entries: int = _testbed.ENTRIES,
    report: str = "",
    runs: str = "",
) -> None:
    """Run a scenario; append the results to `runs` (JSON lines) and write `report` (HTML)."""
    names = [*_scenarios.SCENARIO_BY_NAME, *_capacity_scenarios.CAPACITY_SCENARIO_BY_NAME]
    if scenario not in names:
        sys.exit(f"scenario is {scenario!r}, expected one of {', '.join(names)}")
    options = Options(scenario, seed, policy, deployment, seconds, follow_owner, entries)
    started_at = time.monotonic()
    print(f"{scenario} on {deployment}, policy {policy}, seed {seed}; load {os.getloadavg()}")
    with processes.Fleet() as fleet:
        if scenario in _capacity_scenarios.CAPACITY_SCENARIO_BY_NAME:
            metrics = _capacity_scenarios.CAPACITY_SCENARIO_BY_NAME[scenario](fleet, options)
        else:
            metrics = measure_load(fleet, options)
    parameters = {"scenario": scenario, "seed": seed, "policy": policy, "deployment": deployment}
    result = parameters | metrics
    result["seconds"] = round(time.monotonic() - started_at, 1)
    result["load_average"] = round(os.getloadavg()[0], 1)
    print(tabulate.tabulate([[key, json.dumps(value)] for key, value in result.items()]))
    _write_results(result, runs, report)
    print(json.dumps(result))


def _write_results(result: dict, runs: str, report: str) -> None:
    if runs:
        with open(runs, "a", encoding="utf-8") as file:
            file.write(json.dumps(result) + "\n")
    if report:
        from daisyfall_standins import _report

        _report.write(report, _report.read(runs) if runs else [result])


@attrs.frozen
class Options:
    """Command-line options."""

    scenario: str
    seed: int
    policy: str
    deployment: str
    seconds: float
    follow_owner: bool
    entries: int


def measure_load(fleet: processes.Fleet, options: Options) -> dict:
    """Run a scenario with the deployment's load; return its results."""
    scenario = _scenarios.SCENARIO_BY_NAME[options.scenario]
    deployment = _testbed.DEPLOYMENT_BY_NAME[options.deployment]
    testbed = _testbed.start(fleet, deployment, options.policy, entries=options.entries)
    print(f"  {len(fleet.process_by_name)} processes run", flush=True)
    return asyncio.run(_measure(testbed, scenario, options))


async def _measure(
    testbed: _testbed.Testbed, scenario: _scenarios.Scenario, options: Options
) -> dict:
    idle = await _testbed.measure_idle(testbed.cluster.agents, IDLE_SECONDS)
    shape = testbed.load_shape(options.seconds, options.seed)
    run_id = os.urandom(4).hex()
    jobs = scenario.jobs(shape, run_id)
    context = _scenarios.ScenarioContext(testbed, options.seconds)
    before = _testbed.CounterSnapshot.take(testbed)
    records = await testbed.run_load(
        shape, jobs, lambda: scenario.fault(context), options.follow_owner
    )
    after = _testbed.CounterSnapshot.take(testbed)
    metrics = summarize(testbed, records, (before, after), context.extra_tasks)
    metrics |= {
        "agent_cpu_percent_idle": idle.cpu_percent,
        "agent_rss_mb": max(after.rss_mb[agent.name] for agent in testbed.cluster.agents),
        "agent_control_bytes_per_second": idle.bytes_per_second,
        "offered_load": round(
            _analysis.offered_load(jobs, jobs[-1].arrival_seconds, shape.slots), 3
        ),
        "model_over_ideal": attrs.asdict(
            _analysis.simulate_ratios(jobs, shape.slots, shape.round_trip_ms)
        ),
        "shape": describe(shape, testbed, options),
    }
    if context.fault_seconds:
        metrics |= compare_before_and_after(jobs, records, context.fault_seconds)
    return metrics | context.metrics


def compare_before_and_after(
    jobs: list[load.Job], records: list[load.JobRecord], fault_seconds: float
) -> dict:
    """Return the response ratios of the jobs that arrived before and after a fault."""
    pairs = list(zip(jobs, records, strict=True))
    ratios_before = _analysis.response_ratios(
        [record for job, record in pairs if job.arrival_seconds < fault_seconds]
    )
    ratios_after = _analysis.response_ratios(
        [record for job, record in pairs if job.arrival_seconds >= fault_seconds]
    )
    return {
        "response_over_ideal_before_fault": attrs.asdict(ratios_before) if ratios_before else None,
        "response_over_ideal_after_fault": attrs.asdict(ratios_after) if ratios_after else None,
    }


def summarize(
    testbed: _testbed.Testbed,
    records: list[load.JobRecord],
    snapshots: tuple[_testbed.CounterSnapshot, _testbed.CounterSnapshot],
    extra_tasks: int = 0,
) -> dict:
    """Return the results of a load; `extra_tasks` were submitted outside of the records."""
    before, after = snapshots
    report = load.summarize(records)
    starts = testbed.cluster.starts()
    wasted: dict[str, float] = {}
    for (_, reason), value in _analysis.counter_increases(after.wasted, before.wasted).items():
        wasted[reason] = wasted.get(reason, 0) + value
    # The daemons' counters can't tell resubmissions from first submissions; each one costs a
    # request and a response.
    wasted["resubmission"] = 2 * report.resubmissions
    names = [entry.name for entry in testbed.cluster.entries]
    cpu = _analysis.counter_increases(after.cpu_seconds, before.cpu_seconds)
    entry_cpu = sum(cpu.get(name, 0) for name in names)
    ratios = _analysis.response_ratios(records)
    tasks = report.tasks + extra_tasks
    audit = _analysis.audit(records, starts.count_by_token)
    # Duplicate starts are found by token (same work under a new task id) and by task id.
    audit["started_twice"] = len(starts.duplicate_ids)
    return {
        "jobs": report.jobs,
        "complete": report.outcomes["complete"],
        "failed": report.outcomes["failed"],
        "refused": report.outcomes["refused"],
        "unanswered": report.outcomes["unanswered"],
        "tasks": tasks,
        "starts": starts.total,
        **audit,
        "response_over_ideal": attrs.asdict(ratios) if ratios else None,
        "wasted_messages_per_task": round(sum(wasted.values()) / tasks, 4),
        "wasted_by_reason": {name: round(value) for name, value in wasted.items()},
        "starts_per_second": round(starts.total / (after.taken_at - before.taken_at), 1),
        "entry_cpu_us_per_start": round(entry_cpu / max(1, starts.total) * 1e6, 1),
        "entry_rss_mb": round(max(after.rss_mb.get(name, 0) for name in names), 1),
        "resubmissions": report.resubmissions,
        "broken_connections": report.broken_connections,
        "refusals_by_kind": report.refusals_by_kind,
        "failures": _count_details(records),
        "longest_gap_seconds": round(
            _analysis.longest_gap([each.ended_seconds for each in records]), 2
        ),
        "slowest_resubmission_seconds": round(_analysis.slowest_resubmission(records), 2),
        "response_ms": {"p50": report.response_ms_p50, "p99": report.response_ms_p99},
        "generator_lag_ms_p99": report.generator_lag_ms_p99,
    }


def _count_details(records: list[load.JobRecord]) -> dict[str, int]:
    """Return the five most frequent reasons why jobs did not complete."""
    counts: dict[str, int] = {}
    for each in records:
        if each.outcome is not load.Outcome.COMPLETE:
            reason = f"{each.outcome.value}: {each.detail[:80]}"
            counts[reason] = counts.get(reason, 0) + 1
    return dict(sorted(counts.items(), key=lambda item: -item[1])[:5])


def describe(shape, testbed: _testbed.Testbed, options: Options) -> dict:
    """Return the parameters of the load and the deployment for the results."""
    return {
        "runners": len(testbed.cluster.agents),
        "slots": shape.slots,
        "entries": len(testbed.cluster.entries),
        "buyers": len(shape.buyers),
        "jobs_per_second": round(shape.jobs_per_second, 1),
        "kinds": {kind.name: kind.typical_ms for kind in shape.kinds},
        "round_trips_ms": shape.round_trip_ms,
        "seconds": options.seconds,
        "follow_owner": options.follow_owner,
    }


if __name__ == "__main__":
    fire.Fire(run)
