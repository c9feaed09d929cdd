"""daisyfallctl: the log lines about one job, collected from the logs of all processes."""

import json
import pathlib
import sys

from daisyfall import _command_line, _ctl_output

# Fields that are printed without their name or omitted; all others follow as `name=value`.
_HANDLED_FIELDS = ("at", "level", "text", "process", "role", "job", "task")


def print_job_lines(job: str, files: list[str], *, as_json: bool) -> int:
    """Print the log lines about a job, ordered by time; the file `-` is standard input."""
    lines = [line for file in files for line in _read_lines(file, job) if _mentions_job(line, job)]
    if not lines:
        file_names = ", ".join(files)
        raise _command_line.InputError(
            f"no line about job {job!r} in {file_names}, "
            "expected JSON log lines of entries and agents"
        )
    lines.sort(key=lambda line: line.get("at", ""))
    if as_json:
        print(json.dumps(lines))
        return _ctl_output.ExitStatus.DONE
    for line in lines:
        print(_format_line(line, job))
    return _ctl_output.ExitStatus.DONE


def _read_lines(file: str, job: str) -> list[dict]:
    """Return the parsed log lines in which the job's id occurs."""
    try:
        text = sys.stdin.read() if file == "-" else pathlib.Path(file).read_text(errors="replace")
    except OSError as error:
        raise _command_line.InputError(f"{file}: {error.strerror}, expected a log file") from error
    parsed = [_parse_line(line) for line in text.splitlines() if job in line]
    return [line for line in parsed if line is not None]


def _parse_line(text: str) -> dict | None:
    """Parse a log line; a prefix before the JSON object, such as a host name, is skipped."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        line = json.loads(text[start:])
    except ValueError:
        return None
    return line if isinstance(line, dict) and "text" in line else None


def _mentions_job(line: dict, job: str) -> bool:
    if line.get("job") == job or str(line.get("task", "")).split(".")[0] == job:
        return True
    tasks = line.get("tasks")
    return isinstance(tasks, list) and any(str(each).split(".")[0] == job for each in tasks)


def _format_line(line: dict, job: str) -> str:
    time_of_day = str(line.get("at", "")).partition("T")[2][:12]
    task = str(line.get("task", "")).removeprefix(job)
    details = [
        f"{name}={value}".replace(job, "")
        for name, value in line.items()
        if name not in _HANDLED_FIELDS
    ]
    parts = [time_of_day, str(line.get("process", "?")), line["text"], task, *details]
    return " ".join(part for part in parts if part)
