"""daisyfallctl: commands for callers to submit and inspect jobs."""

import asyncio
import json
import sys

import yaml

from daisyfall import _command_line, _ctl_client, _ctl_job_logs, _ctl_output, _ids, _validation

MAX_JOB_TASKS = 1_900
# Submissions are retried with the same job id, so no task is started twice.
MAX_SUBMISSIONS = 4
BACKOFF_SECONDS = 0.25
POLL_SECONDS = 0.5
# Longest wait that one request for an answer asks for; the entry accepts up to 60 s.
MAX_WAIT_MS = 30_000
# Added to the deadline or wait of a request, so that the response can arrive.
RESPONSE_MARGIN_SECONDS = 5.0


@_command_line.command
def submit(file, *, url=None, detach=False, dry_run=False, json=False):
    """Submit the job in FILE (YAML or JSON, - for standard input) and print its answer.

    A job without job_id gets a new one. --detach prints the job id and doesn't wait;
    --dry-run prints a summary of the job and sends nothing.
    """
    job = _read_job(file)
    summary = {
        "job_id": job["job_id"],
        "tasks": len(job["tasks"]),
        "deadline_ms": job["deadline_ms"],
        "work_ms": sum(_expected_run_ms(task) for task in job["tasks"]),
    }
    if dry_run:
        _ctl_output.print_message("dry run, nothing was sent")
        _ctl_output.print_fields(summary, as_json=json)
        return _ctl_output.ExitStatus.DONE
    _ctl_output.print_message(f"job {job['job_id']} with {summary['tasks']} tasks")
    return _ctl_client.run_operation(
        url, lambda client: _submit(client, job, detach, json), as_json=json
    )


@_command_line.command
def status(job, *, url=None, json=False):
    """Print the state of JOB."""
    return _print_state("GET", f"/v1/jobs/{_ctl_client.quote_path_segment(job)}", url, json)


@_command_line.command
def answer(job, *, url=None, limit_seconds=300, json=False):
    """Wait for the answer to JOB, at most --limit-seconds, and print it."""
    path = f"/v1/jobs/{_ctl_client.quote_path_segment(job)}/answer"

    async def operation(client):
        loop = asyncio.get_running_loop()
        wait_until = loop.time() + limit_seconds
        async with _ctl_output.report_progress(lambda: f"waiting for the answer to {job}"):
            while True:
                wait_ms = max(0, min(MAX_WAIT_MS, int((wait_until - loop.time()) * 1000)))
                response_status, body = await client.request(
                    "GET",
                    path,
                    query={"wait_ms": str(wait_ms)},
                    timeout_seconds=wait_ms / 1000 + RESPONSE_MARGIN_SECONDS,
                )
                # 202 means that the job is still running.
                if response_status != 202:
                    _print_answer(body, json)
                    return _ctl_output.ExitStatus.DONE
                if loop.time() >= wait_until:
                    _ctl_output.print_message(f"job {job} has no answer after {limit_seconds} s")
                    return _ctl_output.ExitStatus.NOT_YET
                await asyncio.sleep(POLL_SECONDS)

    return _ctl_client.run_operation(url, operation, as_json=json)


@_command_line.command
def cancel(job, *, url=None, dry_run=False, json=False):
    """Cancel JOB; tasks that have not started are dropped."""
    if dry_run:
        _ctl_output.print_message(f"dry run, job {job} would be cancelled")
        return _ctl_output.ExitStatus.DONE

    return _print_state("DELETE", f"/v1/jobs/{_ctl_client.quote_path_segment(job)}", url, json)


@_command_line.command
def explain(job, *logs, url=None, json=False):
    """Explain the state of JOB: its unfinished tasks and what they wait for.

    With LOGS (log files, or - for standard input), print the log lines about JOB instead.
    """
    if logs:
        return _ctl_job_logs.print_job_lines(job, list(logs), as_json=json)
    return _print_state("GET", f"/v1/jobs/{_ctl_client.quote_path_segment(job)}/explain", url, json)


def _print_state(method: str, path: str, url: str | None, as_json: bool) -> int:
    async def operation(client):
        try:
            _, body = await client.request(method, path)
        except _ctl_client.ApiError as error:
            # With status 200 the body is the state of a failed job; the request itself succeeded.
            if error.status >= 400:
                raise
            body = error.body
        _ctl_output.print_fields(body, as_json=as_json)
        return _ctl_output.ExitStatus.DONE

    return _ctl_client.run_operation(url, operation, as_json=as_json)


def _read_job(file: str) -> dict:
    try:
        job = yaml.safe_load(sys.stdin) if file == "-" else _validation.read_yaml(file)
    except (_validation.DocumentError, yaml.YAMLError) as error:
        raise _command_line.InputError(" ".join(str(error).split())) from error
    tasks = job.get("tasks") if isinstance(job, dict) else None
    if not isinstance(tasks, list) or not 1 <= len(tasks) <= MAX_JOB_TASKS:
        found = len(tasks) if isinstance(tasks, list) else _validation.format_value(tasks)
        problem = f"{file}: tasks: found {found}, expected a list of 1 to {MAX_JOB_TASKS}"
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
        raise _command_line.InputError(f"{file}: can't be converted to JSON: {error}") from error
    return {"job_id": _ids.new_job_id()} | job


def _expected_run_ms(task: object) -> int:
    run_ms = task.get("run_ms") if isinstance(task, dict) else 0
    return run_ms if isinstance(run_ms, int) else 0


async def _submit(client, job: dict, detach: bool, as_json: bool) -> int:
    answer_timeout_seconds = job["deadline_ms"] / 1000 + RESPONSE_MARGIN_SECONDS
    query = {"wait": "0"} if detach else None
    timeout_seconds = _ctl_client.TIMEOUT_SECONDS if detach else answer_timeout_seconds
    progress_text = f"waiting for job {job['job_id']} with a deadline of {job['deadline_ms']} ms"
    async with _ctl_output.report_progress(lambda: progress_text):
        for attempt in range(1, MAX_SUBMISSIONS + 1):
            try:
                _, body = await client.request(
                    "POST", "/v1/jobs", job, query=query, timeout_seconds=timeout_seconds
                )
                _print_answer(body, as_json)
                return _ctl_output.ExitStatus.DONE
            except _ctl_client.ApiError as error:
                if not _is_retryable(error) or attempt == MAX_SUBMISSIONS:
                    raise
                _ctl_output.print_message(f"{error}; sent again with the same id")
                retry_after_seconds = error.retry_after_ms / 1000
            except (_ctl_client.NoResponseError, _ctl_client.UnreachableError) as error:
                if attempt == MAX_SUBMISSIONS:
                    raise
                _ctl_output.print_message(f"{error}; sent again with the same id")
                retry_after_seconds = 0
            await asyncio.sleep(max(retry_after_seconds, BACKOFF_SECONDS * 2**attempt))
    raise AssertionError("unreachable: the last attempt returns or raises")


def _is_retryable(error: _ctl_client.ApiError) -> bool:
    # A job that failed after a task started stays failed; resubmitting it only adds load.
    not_run = error.execution_status == "not run" or error.kind == "outcome_unknown"
    return error.retry == "same id" and not_run


def _print_answer(body: dict, as_json: bool) -> None:
    results = body.get("results")
    if as_json or not isinstance(results, list):
        _ctl_output.print_fields(body, as_json=as_json)
        return
    rows = [
        {"task": index, "result": json.dumps(result, ensure_ascii=False)}
        for index, result in enumerate(results)
    ]
    _ctl_output.print_table(rows, ["task", "result"], as_json=False, name="results")
