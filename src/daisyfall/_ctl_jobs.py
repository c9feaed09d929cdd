"""daisyfallctl: commands of callers, on jobs."""

import asyncio
import json
import sys

import yaml

from daisyfall import _command_line, _ctl_client, _ctl_job_logs, _ctl_output, _ids, _validation

LARGEST_JOB_TASKS = 1_900
# A submission is repeated with the same id, which starts no task twice.
MOST_SUBMISSIONS = 4
BACKOFF_SECONDS = 0.25
POLL_SECONDS = 0.5
# Longest wait in one request for an answer; the entry accepts up to 60 s.
LONGEST_WAIT_MS = 30_000
# What a caller waits beyond the deadline for the answer to come back.
REPLY_MARGIN_SECONDS = 5.0


@_command_line.command
def submit(file, *, url=None, detach=False, dry_run=False, json=False):
    """Submit the job in FILE (YAML or JSON, - for standard input) and print its answer.

    A job without job_id gets a new one. --detach prints the id and doesn't wait;
    --dry-run shows what would be sent.
    """
    job = _read_job(file)
    summary = {
        "job_id": job["job_id"],
        "tasks": len(job["tasks"]),
        "deadline_ms": job["deadline_ms"],
        "work_ms": sum(_run_ms(task) for task in job["tasks"]),
    }
    if dry_run:
        _ctl_output.note("dry run, nothing is sent")
        _ctl_output.show_fields(summary, as_json=json)
        return _ctl_output.ExitStatus.DONE
    _ctl_output.note(f"job {job['job_id']} with {summary['tasks']} tasks")
    return _ctl_client.run(url, lambda client: _submit(client, job, detach, json), as_json=json)


@_command_line.command
def status(job, *, url=None, json=False):
    """Print the state of JOB."""
    return _show_state("GET", f"/v1/jobs/{_ctl_client.quote(job)}", url, json)


@_command_line.command
def answer(job, *, url=None, limit_seconds=300, json=False):
    """Wait for the answer to JOB, at most --limit-seconds, and print it."""
    path = f"/v1/jobs/{_ctl_client.quote(job)}/answer"

    async def work(client):
        loop = asyncio.get_running_loop()
        end = loop.time() + limit_seconds
        async with _ctl_output.progress(lambda: f"waiting for the answer to {job}"):
            while True:
                wait_ms = max(0, min(LONGEST_WAIT_MS, int((end - loop.time()) * 1000)))
                found, body = await client.request(
                    "GET",
                    path,
                    query={"wait_ms": str(wait_ms)},
                    timeout_seconds=wait_ms / 1000 + REPLY_MARGIN_SECONDS,
                )
                # 202 is the reply for a job that is still running.
                if found != 202:
                    _show_answer(body, json)
                    return _ctl_output.ExitStatus.DONE
                if loop.time() >= end:
                    _ctl_output.note(f"job {job} has no answer after {limit_seconds} s")
                    return _ctl_output.ExitStatus.NOT_YET
                await asyncio.sleep(POLL_SECONDS)

    return _ctl_client.run(url, work, as_json=json)


@_command_line.command
def cancel(job, *, url=None, dry_run=False, json=False):
    """Cancel JOB: what has not started is dropped."""
    if dry_run:
        _ctl_output.note(f"dry run, job {job} would be cancelled")
        return _ctl_output.ExitStatus.DONE

    return _show_state("DELETE", f"/v1/jobs/{_ctl_client.quote(job)}", url, json)


@_command_line.command
def explain(job, *logs, url=None, json=False):
    """Print why JOB is where it is: what is open, and what it waits for.

    With LOGS, files of log lines or - for standard input, print its story from those instead.
    """
    if logs:
        return _ctl_job_logs.tell(job, list(logs), as_json=json)
    return _show_state("GET", f"/v1/jobs/{_ctl_client.quote(job)}/explain", url, json)


def _show_state(method: str, path: str, url: str | None, as_json: bool) -> int:
    async def work(client):
        try:
            _, body = await client.request(method, path)
        except _ctl_client.RefusedError as error:
            # A reply with status 200 is the state of a failed job, not a refusal.
            if error.status >= 400:
                raise
            body = error.body
        _ctl_output.show_fields(body, as_json=as_json)
        return _ctl_output.ExitStatus.DONE

    return _ctl_client.run(url, work, as_json=as_json)


def _read_job(file: str) -> dict:
    try:
        job = yaml.safe_load(sys.stdin) if file == "-" else _validation.read_yaml(file)
    except (_validation.DocumentError, yaml.YAMLError) as error:
        raise _command_line.InputError(" ".join(str(error).split())) from error
    tasks = job.get("tasks") if isinstance(job, dict) else None
    if not isinstance(tasks, list) or not 1 <= len(tasks) <= LARGEST_JOB_TASKS:
        found = len(tasks) if isinstance(tasks, list) else _validation.format_value(tasks)
        problem = f"{file}: tasks: found {found}, expected a list of 1 to {LARGEST_JOB_TASKS}"
        raise _command_line.InputError(problem)
    deadline = job.get("deadline_ms")
    if not isinstance(deadline, int) or isinstance(deadline, bool) or deadline < 1:
        problem = (
            f"{file}: deadline_ms: found {_validation.format_value(deadline)}, "
            "expected milliseconds"
        )
        raise _command_line.InputError(problem)
    try:
        json.dumps(job)
    except TypeError as error:
        raise _command_line.InputError(f"{file}: has no JSON form: {error}") from error
    return {"job_id": _ids.new_job_id()} | job


def _run_ms(task: object) -> int:
    found = task.get("run_ms") if isinstance(task, dict) else 0
    return found if isinstance(found, int) else 0


async def _submit(client, job: dict, detach: bool, as_json: bool) -> int:
    seconds = job["deadline_ms"] / 1000 + REPLY_MARGIN_SECONDS
    query = {"wait": "0"} if detach else None
    wait = _ctl_client.TIMEOUT_SECONDS if detach else seconds
    describe = f"waiting for job {job['job_id']} with a deadline of {job['deadline_ms']} ms"
    async with _ctl_output.progress(lambda: describe):
        for attempt in range(1, MOST_SUBMISSIONS + 1):
            try:
                _, body = await client.request(
                    "POST", "/v1/jobs", job, query=query, timeout_seconds=wait
                )
                _show_answer(body, as_json)
                return _ctl_output.ExitStatus.DONE
            except _ctl_client.RefusedError as error:
                if not _is_repeatable(error) or attempt == MOST_SUBMISSIONS:
                    raise
                _ctl_output.note(f"{error}; sent again with the same id")
                pause = error.retry_after_ms / 1000
            except (_ctl_client.NoReplyError, _ctl_client.UnreachableError) as error:
                if attempt == MOST_SUBMISSIONS:
                    raise
                _ctl_output.note(f"{error}; sent again with the same id")
                pause = 0
            await asyncio.sleep(max(pause, BACKOFF_SECONDS * 2**attempt))
    raise AssertionError("the last attempt returns or raises")


def _is_repeatable(error: _ctl_client.RefusedError) -> bool:
    # A job that failed after a start stays failed, so sending it again only costs messages.
    not_run = error.run == "not run" or error.kind == "outcome_unknown"
    return error.retry == "same id" and not_run


def _show_answer(body: dict, as_json: bool) -> None:
    results = body.get("results")
    if as_json or not isinstance(results, list):
        _ctl_output.show_fields(body, as_json=as_json)
        return
    rows = [
        {"task": index, "result": json.dumps(result, ensure_ascii=False)}
        for index, result in enumerate(results)
    ]
    _ctl_output.show_table(rows, ["task", "result"], as_json=False, name="results")
