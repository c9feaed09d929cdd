"""The story of one job, put together from the log lines of all processes."""

import json
import pathlib
import sys

from daisyfall import _command_line, _ctl_output

# Shown first or not at all; everything else of a line is printed as `name=value`.
_SHOWN_APART = ("at", "level", "text", "process", "role", "job", "task")


def tell(job: str, files: list[str], *, as_json: bool) -> int:
    """Print the lines about a job in the order of their times; `-` is standard input."""
    lines = [line for file in files for line in _read(file) if _concerns(line, job)]
    if not lines:
        where = ", ".join(files)
        raise _command_line.InputError(
            f"no line about job {job!r} in {where}, expected JSON log lines of entries and agents"
        )
    lines.sort(key=lambda line: line.get("at", ""))
    if as_json:
        print(json.dumps(lines))
        return _ctl_output.ExitStatus.DONE
    for line in lines:
        print(_format(line, job))
    return _ctl_output.ExitStatus.DONE


def _read(file: str) -> list[dict]:
    try:
        text = sys.stdin.read() if file == "-" else pathlib.Path(file).read_text(errors="replace")
    except OSError as error:
        raise _command_line.InputError(f"{file}: {error.strerror}, expected a log file") from error
    found = [_parse(line) for line in text.splitlines()]
    return [line for line in found if line is not None]


def _parse(text: str) -> dict | None:
    """Return a log line; what stands before its JSON object, such as a host's name, is skipped."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        line = json.loads(text[start:])
    except ValueError:
        return None
    return line if isinstance(line, dict) and "text" in line else None


def _concerns(line: dict, job: str) -> bool:
    if line.get("job") == job or str(line.get("task", "")).split(".")[0] == job:
        return True
    tasks = line.get("tasks")
    return isinstance(tasks, list) and any(str(each).split(".")[0] == job for each in tasks)


def _format(line: dict, job: str) -> str:
    clock = str(line.get("at", "")).partition("T")[2][:12]
    task = str(line.get("task", "")).removeprefix(job)
    rest = [f"{name}={value}" for name, value in line.items() if name not in _SHOWN_APART]
    words = [clock, str(line.get("process", "?")), line["text"], task, *rest]
    return " ".join(word for word in words if word)
