"""`make demo`: run one example job of each deployment on two entries and three agents.

The last line of the output is a JSON object with the results. The exit status is 0 only if
every job is complete and no task was started twice.
"""

import asyncio
import json
import pathlib
import sys

import attrs
import yaml

from daisyfall_standins import cluster as clusters
from daisyfall_standins import load, processes

EXAMPLES = pathlib.Path("examples")
ENTRIES = 2
AGENTS = 3
SLOTS = AGENTS * 8
# All connections are on loopback, so the ideal response time includes no network time.
ROUND_TRIP_MS = 0.0
WASTED_METRIC = "daisyfall_wasted_messages_total"


@attrs.frozen
class Example:
    """An example deployment: its folder below `examples/` and the buyer that submits the job."""

    name: str
    buyer: str


EXAMPLE_DEPLOYMENTS = [Example("cooperative", "andina-brands"), Example("salinas", "weighbridge")]


def run_example(cluster: clusters.Cluster, example: Example) -> load.JobRecord:
    """Apply the example's lists, submit its job and print the outcome."""
    folder = EXAMPLES / example.name
    version = cluster.apply_lists(read_lists(folder))
    print(f"{example.name}: lists version {version} is in force at {len(cluster.entries)} entries")
    job = read_job(folder, example.buyer)
    shape = load.LoadShape(buyers=[job.buyer], slots=SLOTS, round_trip_ms=ROUND_TRIP_MS)
    generator = load.LoadGenerator(shape, [entry.url for entry in cluster.entries])
    record = asyncio.run(generator.run([job]))[0]
    print(
        f"{example.name}: job {record.job_id} of buyer {record.buyer}, {len(record.tokens)} tasks: "
        f"{record.outcome.value} {record.detail}\n"
        f"  response {record.response_ms:.0f} ms, ideal {record.ideal_ms:.0f} ms, "
        f"{record.attempts} submissions"
    )
    return record


def read_lists(folder: pathlib.Path) -> clusters.ListsDocument:
    """Read the lists of an example folder."""
    plans = yaml.safe_load((folder / "plans.yaml").read_text())
    allowances = yaml.safe_load((folder / "allowances.yaml").read_text())
    return clusters.ListsDocument(plans, allowances)


def read_job(folder: pathlib.Path, buyer: str) -> load.Job:
    """Read the example job; add a token to each payload that is unique to the task."""
    body = json.loads((folder / "job.json").read_text())
    tokens = yaml.safe_load((folder / "tokens.yaml").read_text())
    secret = tokens["buyers"][buyer].removeprefix(f"{buyer}.")
    tasks = [
        load.Task(
            each["kind"], {"token": f"{folder.name}/{index}"} | each["payload"], each["run_ms"]
        )
        for index, each in enumerate(body["tasks"])
    ]
    return load.Job(0.0, load.Buyer(buyer, secret), body["deadline_ms"], tasks)


def summarize(
    cluster: clusters.Cluster, records: list[load.JobRecord], wasted_before: float
) -> dict:
    """Return the results; messages wasted during startup are not counted."""
    report = load.summarize(records)
    starts = cluster.starts()
    complete = report.outcomes[load.Outcome.COMPLETE.value]
    # The daemons' counters can't tell resubmissions from first submissions; each one costs a
    # request and a response.
    wasted = cluster.sum_metric(WASTED_METRIC) - wasted_before + 2 * report.resubmissions
    return {
        "jobs": report.jobs,
        "complete": complete,
        "failed": report.jobs - complete,
        "tasks": report.tasks,
        "started": starts.total,
        "started_twice": len(starts.duplicate_ids),
        "response_over_ideal_p50": round(report.response_over_ideal_p50, 3),
        "wasted_messages_per_task": round(wasted / report.tasks, 4),
    }


def print_processes(cluster: clusters.Cluster) -> None:
    """Print memory and CPU time of each process."""
    print(f"{'process':<12}{'memory MB':>12}{'CPU s':>8}")
    for process in cluster.fleet.process_by_name.values():
        usage = process.usage()
        print(f"{process.name:<12}{usage.rss_mb:>12.1f}{usage.cpu_seconds:>8.2f}")


def main() -> int:
    """Run the demo; return the exit status."""
    with processes.Fleet() as fleet:
        cluster = clusters.start(
            fleet,
            read_lists(EXAMPLES / EXAMPLE_DEPLOYMENTS[0].name),
            entries=ENTRIES,
            agents=AGENTS,
        )
        print(f"started {len(fleet.process_by_name)} processes")
        wasted_before = cluster.sum_metric(WASTED_METRIC)
        records = [run_example(cluster, example) for example in EXAMPLE_DEPLOYMENTS]
        print_processes(cluster)
        results = summarize(cluster, records, wasted_before)
    print(json.dumps(results))
    all_complete = results["complete"] == results["jobs"]
    return 0 if all_complete and results["started_twice"] == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
