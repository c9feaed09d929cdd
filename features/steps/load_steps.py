"""Steps for the load generator, against fake entries with scripted answers."""

import itertools
import json

import event_loop
from aiohttp import web
from behave import given, then, when

from daisyfall import errors
from daisyfall_standins import _workload, load

BUYER = load.Buyer("roca", "secret")


def answer(name, body):
    """Return the JSON answer to a submission that a name in the script stands for."""
    results = [task["payload"] for task in body["tasks"]]
    complete = {"job_id": body["job_id"], "state": "complete", "results": results}
    match name:
        case "complete":
            return complete
        case "short":
            return complete | {"results": results[:-1]}
        case "swapped":
            return complete | {"results": results[::-1]}
        case "other_job":
            return complete | {"job_id": "another"}
        case "no_state":
            return {"results": results}
    error = errors.DispatchError(errors.Kind(name)).as_body() | {"retry_after_ms": 0}
    return {"job_id": body["job_id"], "state": "failed", "error": error}


def make_handler(context, entry):
    """Return the request handler of one entry; each request takes the next answer in the script."""

    async def handle_submission(request):
        body = await request.json()
        context.load_requests.append((entry, body["job_id"], request.headers["Authorization"]))
        name = next(context.load_script)
        if name == "cut":
            request.transport.abort()
            return web.Response()
        return web.Response(text=json.dumps(answer(name, body)), content_type="application/json")

    return handle_submission


async def start_entry(context, entry):
    application = web.Application()
    application.router.add_post("/v1/jobs", make_handler(context, entry))
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    return runner


@given("the load of {jobs:d} jobs at {percent:d}% of {slots:d} slots")
def set_load_shape(context, jobs, percent, slots):
    shape = load.LoadShape(
        buyers=[BUYER], jobs=jobs, seconds=10_000, declared_error_factor=4, seed=1
    )
    context.load_shape = shape.with_utilization(percent / 100, slots)


@then("the load is equal for equal seeds and differs for another seed")
def check_seeds(context):
    shape = context.load_shape
    jobs = _workload.generate(shape, "run")
    assert jobs == _workload.generate(shape, "run")
    assert jobs != _workload.generate(_workload.attrs.evolve(shape, seed=2), "run")
    assert len(jobs) == shape.jobs, len(jobs)


@then("the load's work is within {tolerance:d}% of {percent:d}% of the slots")
def check_work(context, tolerance, percent):
    jobs = _workload.generate(context.load_shape, "run")
    work_ms = sum(task.payload["run_ms"] for job in jobs for task in job.tasks)
    found = work_ms / 1000 / jobs[-1].arrival_seconds / context.load_shape.slots
    assert abs(found / (percent / 100) - 1) < tolerance / 100, found


@given('the load\'s entries answer "{names}"')
def start_entries(context, names):
    script = names.split()  # the last answer is repeated
    context.load_script = itertools.chain(script, itertools.repeat(script[-1]))
    context.load_requests = []
    context.load_urls = []
    for entry in ("entry-1", "entry-2"):
        runner = event_loop.run(context, start_entry(context, entry))
        event_loop.at_end(context, runner.cleanup)
        context.load_urls.append(f"http://127.0.0.1:{runner.addresses[0][1]}")


@when("the load submits one job of 2 tasks")
@when("the load submits one job of 2 tasks with at most {attempts:d} attempts")
def submit(context, attempts=load.DEFAULT_MAX_ATTEMPTS):
    shape = load.LoadShape(buyers=[BUYER], jobs=1, weight_by_tasks={2: 1.0}, jobs_per_second=1000)
    generator = load.LoadGenerator(shape, context.load_urls, attempts)
    context.load_records = event_loop.run(context, generator.run())


@then("the load records the outcome {outcome:w} after {attempts:d} submissions of one id")
def check_record(context, outcome, attempts):
    record = context.load_records[0]
    assert record.outcome.value == outcome, record
    assert record.attempts == len(context.load_requests) == attempts, record
    assert {job_id for _, job_id, _ in context.load_requests} == {record.job_id}
    assert {token for _, _, token in context.load_requests} == {f"Bearer {BUYER.token}"}
    assert load.summarize(context.load_records).outcomes[outcome] == 1


@then("the load used the entries in turn")
def check_alternating_entries(context):
    entries = [entry for entry, _, _ in context.load_requests]
    turns = itertools.islice(itertools.cycle(("entry-1", "entry-2")), len(entries))
    assert entries == list(turns), entries


@when(
    "the load has a job recorded as {outcome:w} with {refused:d} of {attempts:d} attempts refused"
)
def record_job(context, outcome, refused, attempts):
    record = load.JobRecord("id", BUYER.name, ["token"], 1.0, refused=refused, attempts=attempts)
    record.outcome = load.Outcome(outcome)
    context.load_records = [record]


@when("the load's runners counted {count:d} starts of its task")
def count_starts(context, count):
    context.load_starts = {"token": count} if count else {}


@then('the load\'s audit finds "{finding}"')
@then('the load\'s audit finds ""')
def check_audit(context, finding=""):
    audit = load.attrs.asdict(load.audit(context.load_records, context.load_starts))
    found = [name for name, tokens in audit.items() if isinstance(tokens, list) and tokens]
    assert found == finding.split(), audit
