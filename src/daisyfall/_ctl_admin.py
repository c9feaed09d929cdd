"""daisyfallctl: commands for operators to manage upstreams, entries, owners and tokens."""

import asyncio
import difflib
import pathlib
import secrets

import attrs
import yaml

from daisyfall import _command_line, _ctl_client, _ctl_output, errors
from daisyfall.version import _lists, _lists_check

POLL_SECONDS = 0.5
# States in which an upstream has no tasks and receives none.
IDLE_STATES = ("drained", "absent")
SECRET_BYTES = 32
SALT_BYTES = 12

_UPSTREAM_COLUMNS = ["id", "state", "wish", "data_centre", "slots", "running", "queued"]
_UPSTREAM_COLUMNS += ["lists_version"]


@_command_line.command
def list_upstreams(*, url=None, json=False):
    """Print all upstreams with their state and load."""

    async def operation(client):
        rows = await _read_upstreams(client)
        _ctl_output.print_table(rows, _UPSTREAM_COLUMNS, as_json=json, name="upstreams")
        return _ctl_output.ExitStatus.DONE

    return _ctl_client.run_operation(url, operation, as_json=json)


@_command_line.command
def start(upstream, *, url=None, absent=False, dry_run=False, json=False):
    """Let UPSTREAM accept tasks.

    --absent sets the desired state even if the entry knows no upstream of this name.
    """
    return _DesiredStateChange(upstream, "started", absent, dry_run, json).run(url)


@_command_line.command
def drain(
    upstream,
    *,
    url=None,
    wait=False,
    limit_seconds=60,
    absent=False,
    dry_run=False,
    json=False,
):
    """Send no new tasks to UPSTREAM; --wait waits until it has no running or queued tasks.

    --absent sets the desired state even if the entry knows no upstream of this name.
    """
    wait_seconds = limit_seconds if wait else None
    change = _DesiredStateChange(upstream, "draining", absent, dry_run, json, wait_seconds)
    return change.run(url)


@_command_line.command
def stop(
    upstream,
    *,
    url=None,
    wait=False,
    limit_seconds=60,
    absent=False,
    dry_run=False,
    json=False,
):
    """Stop UPSTREAM once its running tasks have finished; --wait waits until none are left.

    --absent sets the desired state even if the entry knows no upstream of this name.
    """
    wait_seconds = limit_seconds if wait else None
    change = _DesiredStateChange(upstream, "stopped", absent, dry_run, json, wait_seconds)
    return change.run(url)


@_command_line.command
def remove(upstream, *, url=None, dry_run=False, json=False):
    """Remove UPSTREAM permanently; use it only if its host will not return."""
    if dry_run:
        _ctl_output.print_message(f"dry run, upstream {upstream} would be removed")
        return _ctl_output.ExitStatus.DONE

    async def operation(client):
        try:
            await client.request(
                "DELETE", f"/v1/upstreams/{_ctl_client.quote_path_segment(upstream)}"
            )
        except _ctl_client.NoResponseError as error:
            _ctl_output.print_message(f"{error}; reading back")
            if await _find_upstream(client, upstream) is not None:
                raise
        _ctl_output.print_fields({"id": upstream, "removed": True}, as_json=json)
        return _ctl_output.ExitStatus.DONE

    return _ctl_client.run_operation(url, operation, as_json=json)


@_command_line.command
def list_entries(*, url=None, json=False):
    """Print all entries."""
    columns = ["id", "state", "data_centre", "address", "http_address", "incarnation"]
    return _print_rows("entries", columns, url, json)


@_command_line.command
def list_owners(*, url=None, json=False):
    """Print the owner and the epoch of each shard."""
    return _print_rows("owners", ["shard", "epoch", "owner", "state"], url, json)


@_command_line.command
def token(name, *, operator=False, secret_file=None, json=False):
    """Create a token for buyer NAME, and its salt and hash for the plans file.

    --operator creates one for an operator, with its value for operator_tokens.
    --secret-file reads the secret from a file; otherwise a random one is created and printed.
    """
    secret = _read_secret(secret_file) if secret_file else secrets.token_urlsafe(SECRET_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    token_hash = _lists.hash_token(secret, salt)
    fields = {} if secret_file else {"token": secret if operator else f"{name}.{secret}"}
    if operator:
        fields["operator_token"] = f"{salt}${token_hash}"
    else:
        fields |= {"buyer": name, "salt": salt, "token_hash": token_hash}
    _check_buyer_name(name, salt, token_hash)
    if json or operator:
        _ctl_output.print_fields(fields, as_json=json)
        return _ctl_output.ExitStatus.DONE
    if "token" in fields:
        print(f"token: {fields['token']}")
    entry = {name: {"plan": "PLAN", "salt": salt, "token_hash": token_hash}}
    print(yaml.safe_dump({"buyers": entry}, sort_keys=False), end="")
    return _ctl_output.ExitStatus.DONE


def _check_buyer_name(name: str, salt: str, token_hash: str) -> None:
    buyer = {"plan": "PLAN", "salt": salt, "token_hash": token_hash}
    try:
        _lists_check.build(0, {"buyers": {name: buyer}}, {"plans": {}})
    except errors.DispatchError as error:
        name_problems = [each for each in error.value if not each["path"].endswith(".plan")]
        if name_problems:
            expected = name_problems[0]["expected"]
            raise _command_line.UsageError(f"found buyer {name!r}, expected {expected}") from error


def _read_secret(file: str) -> str:
    try:
        secret = pathlib.Path(file).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise _command_line.InputError(f"--secret-file {file} can't be read: {error}") from error
    if len(secret) < SECRET_BYTES // 2:
        problem = f"--secret-file {file} contains {len(secret)} characters, expected at least 16"
        raise _command_line.InputError(problem)
    return secret


def _print_rows(name: str, columns: list[str], url, as_json: bool) -> int:
    async def operation(client):
        _, body = await client.request("GET", f"/v1/{name}")
        _ctl_output.print_table(body.get(name, []), columns, as_json=as_json, name=name)
        return _ctl_output.ExitStatus.DONE

    return _ctl_client.run_operation(url, operation, as_json=as_json)


async def _read_upstreams(client) -> list[dict]:
    _, body = await client.request("GET", "/v1/upstreams")
    return body.get("upstreams", [])


async def _find_upstream(client, upstream: str) -> dict | None:
    rows = [row for row in await _read_upstreams(client) if row.get("id") == upstream]
    return rows[0] if rows else None


@attrs.frozen
class _DesiredStateChange:
    """A change of the desired state of an upstream ("wish" in the API).

    With `wait_seconds` None, the effect of the change is not waited for.
    """

    upstream: str
    desired_state: str
    allow_unknown: bool
    dry_run: bool
    as_json: bool
    wait_seconds: float | None = None

    def run(self, url: str | None) -> int:
        """Apply the change at the entry with this URL; return the exit status."""
        return _ctl_client.run_operation(url, self._apply, as_json=self.as_json)

    async def _apply(self, client) -> int:
        """Set the desired state and, if requested, wait until the upstream is idle."""
        if not self.allow_unknown:
            await _check_upstream_known(client, self.upstream)
        if self.dry_run:
            message = (
                f"dry run, the desired state of upstream {self.upstream} "
                f"would become {self.desired_state}"
            )
            _ctl_output.print_message(message)
            return _ctl_output.ExitStatus.DONE
        await _put_desired_state(client, self.upstream, self.desired_state)
        wait_seconds = self.wait_seconds
        if wait_seconds is not None and not await _wait_until_idle(
            client, self.upstream, wait_seconds
        ):
            return _ctl_output.ExitStatus.NOT_YET
        fields = {"id": self.upstream, "wish": self.desired_state}
        _ctl_output.print_fields(fields, as_json=self.as_json)
        return _ctl_output.ExitStatus.DONE


async def _check_upstream_known(client, upstream: str) -> None:
    """Reject a mistyped name; the entry would store a desired state for any name."""
    known = [str(row.get("id")) for row in await _read_upstreams(client)]
    if upstream not in known:
        matches = difflib.get_close_matches(upstream, known, n=1)
        hint = f"did you mean {matches[0]!r}?" if matches else "see upstreams list, or --absent"
        detail = f"upstream {upstream!r} is not known to the entry, {hint}"
        error = {"kind": "not_found", "detail": detail, "run": "not run"}
        raise _ctl_client.ApiError(404, {"error": error})


async def _put_desired_state(client, upstream: str, desired_state: str) -> None:
    path = f"/v1/upstreams/{_ctl_client.quote_path_segment(upstream)}"
    try:
        await client.request("PUT", path, {"wish": desired_state})
        return
    except _ctl_client.NoResponseError as error:
        unknown_outcome = error
    except _ctl_client.ApiError as error:
        if error.kind != "write_unknown":
            raise
        unknown_outcome = error
    _ctl_output.print_message(f"{unknown_outcome}; reading back")
    row = await _find_upstream(client, upstream)
    if row is None or row.get("wish") != desired_state:
        raise unknown_outcome


async def _wait_until_idle(client, upstream: str, limit_seconds: float) -> bool:
    loop = asyncio.get_running_loop()
    wait_until = loop.time() + limit_seconds
    row: dict = {}
    async with _ctl_output.report_progress(lambda: f"upstream {upstream}: {_format_load(row)}"):
        while loop.time() < wait_until:
            try:
                row = await _find_upstream(client, upstream) or {}
            except (_ctl_client.NoResponseError, _ctl_client.UnreachableError) as error:
                _ctl_output.print_message(str(error))
            if row.get("state") in IDLE_STATES:
                return True
            await asyncio.sleep(POLL_SECONDS)
    _ctl_output.print_message(f"upstream {upstream} is not idle: {_format_load(row)}")
    return False


def _format_load(row: dict) -> str:
    return f"{row.get('running', 0)} running, {row.get('queued', 0)} queued"
