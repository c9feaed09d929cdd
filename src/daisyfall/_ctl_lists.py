"""daisyfallctl: commands of operators on the lists."""

import asyncio
import datetime
import pathlib
import uuid

import attrs
import yaml

from daisyfall import _command_line, _ctl_client, _ctl_output, _validation, errors
from daisyfall.version import _lists_check, _lists_diff

READ_BACK_SECONDS = 0.5
MOST_READS_BACK = 20
POLL_SECONDS = 0.25


@attrs.frozen
class _Edit:
    """Both documents of an operator, the version they are based on, and the id of this edit."""

    plans: dict
    allowances: dict
    base_version: int
    apply_id: str

    @property
    def documents(self) -> dict:
        return {"plans": self.plans, "allowances": self.allowances}


@_command_line.command
def check(plans, allowances, *, json=False):
    """Check the files PLANS and ALLOWANCES together, without an entry."""
    try:
        lists = _lists_check.build(0, _read(plans), _read(allowances))
    except errors.DispatchError as error:
        return _show_invalid(error, json)
    summary = {
        "digest": lists.digest,
        "buyers": len(lists.buyer_by_name),
        "plans": len(lists.allowance_by_plan),
    }
    _ctl_output.show_fields(summary, as_json=json)
    return _ctl_output.ExitStatus.DONE


@_command_line.command
def fetch(plans, allowances, *, url=None, dry_run=False, json=False):
    """Write the lists in force to the files PLANS and ALLOWANCES; print their version."""

    async def work(client):
        found = await _read_lists(client)
        for file, name in ((plans, "plans"), (allowances, "allowances")):
            if dry_run:
                _ctl_output.note(f"dry run, {file} would be written")
            else:
                _write(file, found[name])
        summary = {"version": found["version"], "digest": found["digest"]}
        _ctl_output.show_fields(summary, as_json=json)
        return _ctl_output.ExitStatus.DONE

    return _ctl_client.run(url, work, as_json=json)


@_command_line.command
def diff(plans, allowances, *, url=None, json=False):
    """Print what applying the files would change, and the version in force."""
    documents = {"plans": _read(plans), "allowances": _read(allowances)}

    async def work(client):
        found = await _read_lists(client)
        lines = _lists_diff.diff(found, documents)
        if json:
            _ctl_output.show_json({"version": found["version"], "diff": lines})
            return _ctl_output.ExitStatus.DONE
        print(f"version {found['version']} is in force")
        print("\n".join(lines) or "no difference")
        return _ctl_output.ExitStatus.DONE

    return _ctl_client.run(url, work, as_json=json)


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

    --base-version is the version that the files were made from (lists fetch prints it,
    0 for the first lists). Waits until every process uses the new version, unless --nowait.
    """
    if base_version is None or not base_version.isdigit():
        found = "nothing" if base_version is None else repr(base_version)
        problem = f"--base-version: found {found}, expected the version the files were made from"
        raise _command_line.UsageError(problem)
    edit = _Edit(_read(plans), _read(allowances), int(base_version), str(uuid.uuid4()))
    try:
        _lists_check.build(0, edit.plans, edit.allowances)
    except errors.DispatchError as error:
        return _show_invalid(error, json)

    async def work(client):
        if dry_run:
            return await _show_dry_run(client, edit, json)
        accepted = await _put(client, edit)
        if accepted is None:
            return _ctl_output.ExitStatus.UNKNOWN
        _ctl_output.show_fields(accepted, as_json=json)
        if not wait:
            return _ctl_output.ExitStatus.DONE
        return await _wait_until_in_force(client, accepted["version"], limit_seconds)

    return _ctl_client.run(url, work, as_json=json)


@_command_line.command
def status(*, url=None, json=False):
    """Print which version of the lists each process uses."""

    async def work(client):
        _, body = await client.request("GET", "/v1/lists/status")
        if json:
            _ctl_output.show_json(body)
            return _ctl_output.ExitStatus.DONE
        print(f"version {body.get('version')} is accepted")
        columns = ["id", "role", "version"]
        processes = body.get("processes", [])
        _ctl_output.show_table(processes, columns, as_json=False, name="processes")
        return _ctl_output.ExitStatus.DONE

    return _ctl_client.run(url, work, as_json=json)


@_command_line.command
def history(*, url=None, json=False):
    """Print the accepted versions of the lists."""

    async def work(client):
        _, body = await client.request("GET", "/v1/lists/history")
        rows = body.get("versions", [])
        if not json:
            rows = [row | {"at": _time(row.get("at_ms"))} for row in rows]
        columns = ["version", "digest", "at"]
        _ctl_output.show_table(rows, columns, as_json=json, name="versions")
        return _ctl_output.ExitStatus.DONE

    return _ctl_client.run(url, work, as_json=json)


def _read(file: str) -> dict:
    try:
        return _validation.read_yaml(file)
    except _validation.DocumentError as error:
        raise _command_line.InputError(str(error)) from error


def _write(file: str, document: dict) -> None:
    try:
        text = yaml.safe_dump(document, sort_keys=False, allow_unicode=True)
        pathlib.Path(file).write_text(text, encoding="utf-8")
    except OSError as error:
        raise _command_line.InputError(f"{file}: can't be written: {error.strerror}") from error


def _time(at_ms: object) -> str:
    if not isinstance(at_ms, int):
        return "-"
    at = datetime.datetime.fromtimestamp(at_ms / 1000, datetime.UTC)
    return at.isoformat(timespec="milliseconds")


def _show_invalid(error: errors.DispatchError, as_json: bool) -> int:
    for problem in error.value:
        _ctl_output.note("{path}: found {value}, expected {expected}".format_map(problem))
    if as_json:
        _ctl_output.show_json({"error": error.as_body()})
    return _ctl_output.ExitStatus.INVALID


async def _show_dry_run(client, edit: _Edit, as_json: bool) -> int:
    found = await _read_lists(client)
    lines = _lists_diff.diff(found, edit.documents)
    _ctl_output.note("dry run, nothing is applied")
    if found["version"] != edit.base_version:
        _ctl_output.note(f"version {found['version']} is in force, not {edit.base_version}")
    if as_json:
        _ctl_output.show_json({"version": found["version"], "diff": lines})
    else:
        print("\n".join(lines) or "no difference")
    if found["version"] != edit.base_version:
        return _ctl_output.ExitStatus.CONFLICT
    return _ctl_output.ExitStatus.DONE


async def _read_lists(client) -> dict:
    """Return the lists in force; version 0 and empty lists before the first ones."""
    none = {"version": 0, "digest": "", "apply_id": "", "plans": {}, "allowances": {}}
    try:
        _, body = await client.request("GET", "/v1/lists")
    except _ctl_client.RefusedError as error:
        if error.kind != "lists_unavailable":
            raise
        return none
    return none | body


async def _put(client, edit: _Edit) -> dict | None:
    """Apply the edit once; return version and digest, None if the outcome stays unknown."""
    body = {"base_version": edit.base_version, "apply_id": edit.apply_id} | edit.documents
    try:
        _, accepted = await client.request("PUT", "/v1/lists", body)
        return accepted
    except _ctl_client.NoReplyError as error:
        _ctl_output.note(f"{error}; reading back")
    except _ctl_client.RefusedError as error:
        _show_conflict(error)
        # A refusal that leaves the outcome open is settled like a lost reply.
        if error.run == "not run":
            raise
        _ctl_output.note(f"{error}; reading back")
    return await _read_back(client, edit)


def _show_conflict(error: _ctl_client.RefusedError) -> None:
    for line in error.body.get("diff") or []:
        _ctl_output.note(f"  {line}")


async def _read_back(client, edit: _Edit) -> dict | None:
    """Find out by reading alone whether the edit was accepted; it is never sent again."""
    async with _ctl_output.progress(lambda: "reading back whether the lists were accepted"):
        for _ in range(MOST_READS_BACK):
            try:
                found = await _read_lists(client)
                if found["apply_id"] == edit.apply_id:
                    return {"version": found["version"], "digest": found["digest"]}
                if found["version"] > edit.base_version:
                    return await _find_in_history(client, edit, found)
            except (_ctl_client.NoReplyError, _ctl_client.UnreachableError):
                pass
            except _ctl_client.RefusedError as error:
                if error.status < 500:
                    raise
            await asyncio.sleep(READ_BACK_SECONDS)
    _ctl_output.note(
        f"edit {edit.apply_id} is not in force, but may still be accepted; "
        "see lists history before applying again"
    )
    return None


async def _find_in_history(client, edit: _Edit, found: dict) -> dict | None:
    """Tell a superseded edit from one that lost: the version after the base has its digest."""
    next_version = edit.base_version + 1
    digest = _lists_check.digest(edit.plans, edit.allowances)
    if found["version"] > next_version:
        _, body = await client.request("GET", "/v1/lists/history")
        digests = {row.get("version"): row.get("digest") for row in body.get("versions", [])}
        if digests.get(next_version) == digest:
            _ctl_output.note(f"version {next_version} was accepted and superseded since")
            return {"version": next_version, "digest": digest}
        if next_version not in digests:
            # The object store writes the history with a delay.
            _ctl_output.note(f"version {next_version} is not in the history")
            return None
    detail = f"version {found['version']} was accepted first, the edit was not"
    error = {"kind": "version_conflict", "detail": detail, "run": "not run"}
    lines = _lists_diff.diff(found, edit.documents)
    conflict = _ctl_client.RefusedError(409, {"error": error, "diff": lines})
    _show_conflict(conflict)
    raise conflict


async def _wait_until_in_force(client, version: int, limit_seconds: float) -> int:
    loop = asyncio.get_running_loop()
    end = loop.time() + limit_seconds
    late: list[str] = ["all"]
    async with _ctl_output.progress(lambda: f"version {version} is not yet at {', '.join(late)}"):
        while True:
            try:
                _, body = await client.request("GET", "/v1/lists/status")
                rows = body.get("processes", [])
                late = [str(row["id"]) for row in rows if row["version"] < version]
                if rows and not late:
                    _ctl_output.note(f"version {version} is in force at {len(rows)} processes")
                    return _ctl_output.ExitStatus.DONE
            except (_ctl_client.NoReplyError, _ctl_client.UnreachableError) as error:
                late = [str(error)]
            if loop.time() >= end:
                break
            await asyncio.sleep(POLL_SECONDS)
    _ctl_output.note(f"version {version} is accepted, but not yet at {', '.join(late)}")
    return _ctl_output.ExitStatus.NOT_YET
