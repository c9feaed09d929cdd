"""daisyfallctl: what an entry on the users' platform would do with a job now."""

import json as json_module

from daisyfall import _command_line, _ctl_client, _ctl_output

COLUMNS = ["step", "task", "agent", "free_before", "runners"]


@_command_line.command
def explain(
    address,
    route,
    *,
    steps=None,
    count=1,
    cpu=1000,
    memory_mb=0,
    ms=100,
    wait_ms=0,
    json=False,
):
    """Explain where the tasks of a job would go now, or why it would be refused.

    ADDRESS is host:port of an entry's metrics; ROUTE the name of a route, or host and path of a
    request. The job has the --steps (a JSON list as in a request), or one step of --count tasks
    that need --cpu thousandths of a core and --memory-mb for --ms. Nothing is sent to a runner,
    reserved or queued.
    """
    body = {"route": route, "wait_ms": wait_ms}
    if steps is None:
        body["step"] = {"count": count, "cpu": cpu, "memory_mb": memory_mb, "run_ms": ms}
    else:
        body["steps"] = _read_steps(steps)
    url = address if "://" in address else f"http://{address}"

    async def operation(client):
        _, found = await client.request("POST", "/explain", body)
        _print(found, json)
        return _ctl_output.ExitStatus.DONE

    return _ctl_client.run_operation(url, operation, as_json=json, sends_token=False)


def _read_steps(text: str) -> list:
    try:
        steps = json_module.loads(text)
    except ValueError as error:
        raise _command_line.InputError(f"--steps: not JSON: {error}") from error
    if not isinstance(steps, list):
        raise _command_line.InputError(f"--steps: found {text!r}, expected a JSON list")
    return steps


def _print(found: dict, as_json: bool) -> None:
    if as_json:
        _ctl_output.print_json(found)
        return
    _ctl_output.print_fields(
        {name: value for name, value in found.items() if name != "tasks"}, as_json=False
    )
    rows = [
        {
            "step": task["step"],
            "task": task["task"],
            "agent": task["agent"],
            "free_before": f"{task['free_cpu']} of {task['cpu']}" if task["agent"] else "",
            "runners": ", ".join(f"{number} {why}" for why, number in task["runners"].items()),
        }
        for task in found["tasks"]
    ]
    print()
    _ctl_output.print_table(rows, COLUMNS, as_json=False, name="tasks")
