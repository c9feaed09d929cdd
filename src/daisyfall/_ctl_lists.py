"""daisyfallctl: commands for operators to check, compare and apply the lists."""

import asyncio
import datetime
import pathlib
import uuid

import attrs
import yaml

from daisyfall import _command_line, _ctl_client, _ctl_output, _validation, errors
from daisyfall.version import _lists_check, _lists_diff

READ_BACK_SECONDS = 0.5
MAX_READ_BACKS = 20
POLL_SECONDS = 0.25


@attrs.frozen
class _Edit:
    """New contents of both lists, the version they are based on, and a unique id of the edit."""

    plans: dict
    allowances: dict
    base_version: int
    apply_id: str

    @property
    def documents(self) -> dict:
        return {"plans": self.plans, "allowances": self.allowances}


@_command_line.command
def check(plans, allowances, *, json=False):
    """Validate the files PLANS and ALLOWANCES together, without contacting an entry."""
    try:
        lists = _lists_check.build(0, _read_file(plans), _read_file(allowances))
    except errors.DispatchError as error:
        return _print_invalid_lists(error, json)
    summary = {
        "digest": lists.digest,
        "buyers": len(lists.buyer_by_name),
        "plans": len(lists.allowance_by_plan),
    }
    _ctl_output.print_fields(summary, as_json=json)
    return _ctl_output.ExitStatus.DONE


@_command_line.command
def fetch(plans, allowances, *, url=None, dry_run=False, json=False):
    """Write the lists in force to the files PLANS and ALLOWANCES; print their version."""

    async def operation(client):
        current = await _read_lists(client)
        for file, name in ((plans, "plans"), (allowances, "allowances")):
            if dry_run:
                _ctl_output.print_message(f"dry run, {file} would be written")
            else:
                _write_file(file, current[name])
        summary = {"version": current["version"], "digest": current["digest"]}
        _ctl_output.print_fields(summary, as_json=json)
        return _ctl_output.ExitStatus.DONE

    return _ctl_client.run_operation(url, operation, as_json=json)


@_command_line.command
def diff(plans, allowances, *, url=None, json=False):
    """Print what applying the files would change, and the version in force."""
    documents = {"plans": _read_file(plans), "allowances": _read_file(allowances)}

    async def operation(client):
        current = await _read_lists(client)
        differences = _lists_diff.diff(current, documents)
        if json:
            _ctl_output.print_json({"version": current["version"], "diff": differences})
            return _ctl_output.ExitStatus.DONE
        print(f"version {current['version']} is in force")
        print("\n".join(differences) or "no difference")
        return _ctl_output.ExitStatus.DONE

    return _ctl_client.run_operation(url, operation, as_json=json)


@_command_line.command
def apply(
    plans,
    allowances,
    *,
    base_version=None,
    url=None,
    wait=True,
    limit_seconds=10,
    dry_run=False,
    json=False,
):
    """Apply both files, if version --base-version is still in force.

    --base-version is the version that the files are based on (lists fetch prints it; 0 for
    the first lists). Waits until every process uses the new version, unless --nowait is given.
    """
    if base_version is None or not base_version.isdigit():
        found = "nothing" if base_version is None else repr(base_version)
        problem = f"--base-version: found {found}, expected the version the files were made from"
        raise _command_line.UsageError(problem)
    edit = _Edit(_read_file(plans), _read_file(allowances), int(base_version), str(uuid.uuid4()))
    try:
        _lists_check.build(0, edit.plans, edit.allowances)
    except errors.DispatchError as error:
        return _print_invalid_lists(error, json)

    async def operation(client):
        if dry_run:
            return await _print_dry_run(client, edit, json)
        accepted = await _put_lists(client, edit)
        if accepted is None:
            return _ctl_output.ExitStatus.UNKNOWN
        _ctl_output.print_fields(accepted, as_json=json)
        if not wait:
            return _ctl_output.ExitStatus.DONE
        return await _wait_until_active(client, accepted["version"], limit_seconds)

    return _ctl_client.run_operation(url, operation, as_json=json)


@_command_line.command
def status(*, url=None, json=False):
    """Print which version of the lists each process uses."""

    async def operation(client):
        _, body = await client.request("GET", "/v1/lists/status")
        if json:
            _ctl_output.print_json(body)
            return _ctl_output.ExitStatus.DONE
        print(f"version {body.get('version')} is accepted")
        columns = ["id", "role", "version"]
        processes = body.get("processes", [])
        _ctl_output.print_table(processes, columns, as_json=False, name="processes")
        return _ctl_output.ExitStatus.DONE

    return _ctl_client.run_operation(url, operation, as_json=json)


@_command_line.command
def history(*, url=None, json=False):
    """Print the accepted versions of the lists."""

    async def operation(client):
        _, body = await client.request("GET", "/v1/lists/history")
        rows = body.get("versions", [])
        if not json:
            rows = [row | {"at": _format_time(row.get("at_ms"))} for row in rows]
        columns = ["version", "digest", "at"]
        _ctl_output.print_table(rows, columns, as_json=json, name="versions")
        return _ctl_output.ExitStatus.DONE

    return _ctl_client.run_operation(url, operation, as_json=json)


def _read_file(file: str) -> dict:
    try:
        return _validation.read_yaml(file)
    except _validation.DocumentError as error:
        raise _command_line.InputError(str(error)) from error


def _write_file(file: str, document: dict) -> None:
    try:
        text = yaml.safe_dump(document, sort_keys=False, allow_unicode=True)
        pathlib.Path(file).write_text(text, encoding="utf-8")
    except OSError as error:
        raise _command_line.InputError(f"{file}: can't be written: {error.strerror}") from error


def _format_time(at_ms: object) -> str:
    if not isinstance(at_ms, int):
        return "-"
    at = datetime.datetime.fromtimestamp(at_ms / 1000, datetime.UTC)
    return at.isoformat(timespec="milliseconds")


def _print_invalid_lists(error: errors.DispatchError, as_json: bool) -> int:
    for problem in error.value:
        _ctl_output.print_message("{path}: found {value}, expected {expected}".format_map(problem))
    if as_json:
        _ctl_output.print_json({"error": error.as_body()})
    return _ctl_output.ExitStatus.INVALID


async def _print_dry_run(client, edit: _Edit, as_json: bool) -> int:
    current = await _read_lists(client)
    differences = _lists_diff.diff(current, edit.documents)
    _ctl_output.print_message("dry run, nothing was applied")
    if current["version"] != edit.base_version:
        _ctl_output.print_message(
            f"version {current['version']} is in force, not {edit.base_version}"
        )
    if as_json:
        _ctl_output.print_json({"version": current["version"], "diff": differences})
    else:
        print("\n".join(differences) or "no difference")
    if current["version"] != edit.base_version:
        return _ctl_output.ExitStatus.CONFLICT
    return _ctl_output.ExitStatus.DONE


async def _read_lists(client) -> dict:
    """Return the lists in force; version 0 and empty lists if none were applied yet."""
    empty = {"version": 0, "digest": "", "apply_id": "", "plans": {}, "allowances": {}}
    try:
        _, body = await client.request("GET", "/v1/lists")
    except _ctl_client.ApiError as error:
        if error.kind != "lists_unavailable":
            raise
        return empty
    return empty | body


async def _put_lists(client, edit: _Edit) -> dict | None:
    """Send the edit once; return version and digest, or None if the outcome stays unknown."""
    body = {"base_version": edit.base_version, "apply_id": edit.apply_id} | edit.documents
    try:
        _, accepted = await client.request("PUT", "/v1/lists", body)
        return accepted
    except _ctl_client.NoResponseError as error:
        _ctl_output.print_message(f"{error}; reading back")
    except _ctl_client.ApiError as error:
        _print_conflict(error)
        # An error that leaves the outcome unknown is handled like a missing response.
        if error.execution_status == "not run":
            raise
        _ctl_output.print_message(f"{error}; reading back")
    return await _read_back(client, edit)


def _print_conflict(error: _ctl_client.ApiError) -> None:
    for line in error.body.get("diff") or []:
        _ctl_output.print_message(f"  {line}")


async def _read_back(client, edit: _Edit) -> dict | None:
    """Read the lists to determine whether the edit was accepted; it is never resent."""
    async with _ctl_output.report_progress(lambda: "reading back whether the lists were accepted"):
        for _ in range(MAX_READ_BACKS):
            try:
                current = await _read_lists(client)
                if current["apply_id"] == edit.apply_id:
                    return {"version": current["version"], "digest": current["digest"]}
                if current["version"] > edit.base_version:
                    return await _find_in_history(client, edit, current)
            except (_ctl_client.NoResponseError, _ctl_client.UnreachableError):
                pass
            except _ctl_client.ApiError as error:
                if error.status < 500:
                    raise
            await asyncio.sleep(READ_BACK_SECONDS)
    _ctl_output.print_message(
        f"edit {edit.apply_id} is not in force, but may still be accepted; "
        "see lists history before applying again"
    )
    return None


async def _find_in_history(client, edit: _Edit, current: dict) -> dict | None:
    """Tell whether the edit was accepted and then superseded, or lost to a concurrent edit.

    It was accepted if the version that follows its base version has its digest.
    Return None if the history does not contain that version yet.
    """
    next_version = edit.base_version + 1
    digest = _lists_check.digest(edit.plans, edit.allowances)
    if current["version"] > next_version:
        _, body = await client.request("GET", "/v1/lists/history")
        digests = {row.get("version"): row.get("digest") for row in body.get("versions", [])}
        if digests.get(next_version) == digest:
            _ctl_output.print_message(f"version {next_version} was accepted and superseded since")
            return {"version": next_version, "digest": digest}
        if next_version not in digests:
            # The history is written to the object store with a delay.
            _ctl_output.print_message(f"version {next_version} is not in the history")
            return None
    detail = f"version {current['version']} was accepted first, the edit was not"
    error = {"kind": "version_conflict", "detail": detail, "run": "not run"}
    differences = _lists_diff.diff(current, edit.documents)
    conflict = _ctl_client.ApiError(409, {"error": error, "diff": differences})
    _print_conflict(conflict)
    raise conflict


async def _wait_until_active(client, version: int, limit_seconds: float) -> int:
    loop = asyncio.get_running_loop()
    wait_until = loop.time() + limit_seconds
    outdated: list[str] = ["all"]
    async with _ctl_output.report_progress(
        lambda: f"version {version} is not yet at {', '.join(outdated)}"
    ):
        while True:
            try:
                _, body = await client.request("GET", "/v1/lists/status")
                rows = body.get("processes", [])
                outdated = [str(row["id"]) for row in rows if row["version"] < version]
                if rows and not outdated:
                    _ctl_output.print_message(
                        f"version {version} is in force at {len(rows)} processes"
                    )
                    return _ctl_output.ExitStatus.DONE
            except (_ctl_client.NoResponseError, _ctl_client.UnreachableError) as error:
                outdated = [str(error)]
            if loop.time() >= wait_until:
                break
            await asyncio.sleep(POLL_SECONDS)
    _ctl_output.print_message(
        f"version {version} is accepted, but not yet at {', '.join(outdated)}"
    )
    return _ctl_output.ExitStatus.NOT_YET
