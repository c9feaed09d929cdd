"""daisyfallctl: commands of operators on upstreams, entries and owners, and on tokens."""

import asyncio
import difflib
import pathlib
import secrets

import attrs
import yaml

from daisyfall import _command_line, _ctl_client, _ctl_output, errors
from daisyfall.version import _lists, _lists_check

POLL_SECONDS = 0.5
# States of an upstream that runs nothing and gets no work.
IDLE_STATES = ("drained", "absent")
SECRET_BYTES = 32
SALT_BYTES = 12

_UPSTREAM_COLUMNS = ["id", "state", "wish", "data_centre", "slots", "running", "queued"]
_UPSTREAM_COLUMNS += ["lists_version"]


@_command_line.command
def list_upstreams(*, url=None, json=False):
    """Print all upstreams with their state and load."""

    async def work(client):
        rows = await _read_upstreams(client)
        _ctl_output.show_table(rows, _UPSTREAM_COLUMNS, as_json=json, name="upstreams")
        return _ctl_output.ExitStatus.DONE

    return _ctl_client.run(url, work, as_json=json)


@_command_line.command
def start(upstream, *, url=None, absent=False, dry_run=False, json=False):
    """Let UPSTREAM take work.

    --absent sets the wish even if no upstream of this name is known to the entry.
    """
    change = _Change(upstream, "started", absent, dry_run, json)
    return _ctl_client.run(url, change.apply, as_json=json)


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
    """Give UPSTREAM no new work; --wait returns when nothing runs or waits there.

    --absent sets the wish even if no upstream of this name is known to the entry.
    """
    limit = limit_seconds if wait else None
    change = _Change(upstream, "draining", absent, dry_run, json, limit)
    return _ctl_client.run(url, change.apply, as_json=json)


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
    """Let UPSTREAM finish what runs and then stop; --wait returns when nothing runs there.

    --absent sets the wish even if no upstream of this name is known to the entry.
    """
    limit = limit_seconds if wait else None
    change = _Change(upstream, "stopped", absent, dry_run, json, limit)
    return _ctl_client.run(url, change.apply, as_json=json)


@_command_line.command
def remove(upstream, *, url=None, dry_run=False, json=False):
    """Take UPSTREAM off the list for good; only for one whose host will not come back."""
    if dry_run:
        _ctl_output.note(f"dry run, upstream {upstream} would be removed")
        return _ctl_output.ExitStatus.DONE

    async def work(client):
        try:
            await client.request("DELETE", f"/v1/upstreams/{_ctl_client.quote(upstream)}")
        except _ctl_client.NoReplyError as error:
            _ctl_output.note(f"{error}; reading back")
            if await _find_upstream(client, upstream) is not None:
                raise
        _ctl_output.show_fields({"id": upstream, "removed": True}, as_json=json)
        return _ctl_output.ExitStatus.DONE

    return _ctl_client.run(url, work, as_json=json)


@_command_line.command
def list_entries(*, url=None, json=False):
    """Print all entries."""
    columns = ["id", "state", "data_centre", "address", "http_address", "incarnation"]
    return _list("entries", columns, url, json)


@_command_line.command
def list_owners(*, url=None, json=False):
    """Print the owner and the epoch of each shard."""
    return _list("owners", ["shard", "epoch", "owner", "state"], url, json)


@_command_line.command
def token(name, *, operator=False, secret_file=None, json=False):
    """Make a token for buyer NAME, with the salt and hash for the plans file.

    --operator makes one for an operator, with the line for operator_tokens instead.
    --secret-file reads the secret from a file; otherwise a random one is made and printed.
    """
    secret = _read_secret(secret_file) if secret_file else secrets.token_urlsafe(SECRET_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    token_hash = _lists.hash_token(secret, salt)
    shown = {} if secret_file else {"token": secret if operator else f"{name}.{secret}"}
    if operator:
        shown["operator_token"] = f"{salt}${token_hash}"
    else:
        shown |= {"buyer": name, "salt": salt, "token_hash": token_hash}
    _check_buyer_name(name, salt, token_hash)
    if json or operator:
        _ctl_output.show_fields(shown, as_json=json)
        return _ctl_output.ExitStatus.DONE
    if "token" in shown:
        print(f"token: {shown['token']}")
    entry = {name: {"plan": "PLAN", "salt": salt, "token_hash": token_hash}}
    print(yaml.safe_dump({"buyers": entry}, sort_keys=False), end="")
    return _ctl_output.ExitStatus.DONE


def _check_buyer_name(name: str, salt: str, token_hash: str) -> None:
    buyer = {"plan": "PLAN", "salt": salt, "token_hash": token_hash}
    try:
        _lists_check.build(0, {"buyers": {name: buyer}}, {"plans": {}})
    except errors.DispatchError as error:
        wrong = [each for each in error.value if not each["path"].endswith(".plan")]
        if wrong:
            expected = wrong[0]["expected"]
            raise _command_line.UsageError(f"found buyer {name!r}, expected {expected}") from error


def _read_secret(file: str) -> str:
    try:
        secret = pathlib.Path(file).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise _command_line.InputError(f"--secret-file {file} can't be read: {error}") from error
    if len(secret) < SECRET_BYTES // 2:
        problem = f"--secret-file {file} holds {len(secret)} characters, expected at least 16"
        raise _command_line.InputError(problem)
    return secret


def _list(name: str, columns: list[str], url, as_json: bool) -> int:
    async def work(client):
        _, body = await client.request("GET", f"/v1/{name}")
        _ctl_output.show_table(body.get(name, []), columns, as_json=as_json, name=name)
        return _ctl_output.ExitStatus.DONE

    return _ctl_client.run(url, work, as_json=as_json)


async def _read_upstreams(client) -> list[dict]:
    _, body = await client.request("GET", "/v1/upstreams")
    return body.get("upstreams", [])


async def _find_upstream(client, upstream: str) -> dict | None:
    rows = [row for row in await _read_upstreams(client) if row.get("id") == upstream]
    return rows[0] if rows else None


@attrs.frozen
class _Change:
    """An operator's change of the wish for an upstream; `limit_seconds` None: don't wait."""

    upstream: str
    wish: str
    absent: bool
    dry_run: bool
    as_json: bool
    limit_seconds: float | None = None

    async def apply(self, client) -> int:
        """Put the wish and wait for its effect as far as it was asked for."""
        if not self.absent:
            await _check_known(client, self.upstream)
        if self.dry_run:
            text = f"dry run, the wish for upstream {self.upstream} would become {self.wish}"
            _ctl_output.note(text)
            return _ctl_output.ExitStatus.DONE
        await _put_wish(client, self.upstream, self.wish)
        limit = self.limit_seconds
        if limit is not None and not await _wait_until_idle(client, self.upstream, limit):
            return _ctl_output.ExitStatus.NOT_YET
        shown = {"id": self.upstream, "wish": self.wish}
        _ctl_output.show_fields(shown, as_json=self.as_json)
        return _ctl_output.ExitStatus.DONE


async def _check_known(client, upstream: str) -> None:
    """Refuse a mistyped name; the entry would keep a wish for any name."""
    known = [str(row.get("id")) for row in await _read_upstreams(client)]
    if upstream not in known:
        near = difflib.get_close_matches(upstream, known, n=1)
        hint = f"did you mean {near[0]!r}?" if near else "see upstreams list, or --absent"
        detail = f"upstream {upstream!r} is not known to the entry, {hint}"
        error = {"kind": "not_found", "detail": detail, "run": "not run"}
        raise _ctl_client.RefusedError(404, {"error": error})


async def _put_wish(client, upstream: str, wish: str) -> None:
    path = f"/v1/upstreams/{_ctl_client.quote(upstream)}"
    try:
        await client.request("PUT", path, {"wish": wish})
        return
    except _ctl_client.NoReplyError as error:
        lost = error
    except _ctl_client.RefusedError as error:
        if error.kind != "write_unknown":
            raise
        lost = error
    _ctl_output.note(f"{lost}; reading back")
    found = await _find_upstream(client, upstream)
    if found is None or found.get("wish") != wish:
        raise lost


async def _wait_until_idle(client, upstream: str, limit_seconds: float) -> bool:
    loop = asyncio.get_running_loop()
    end = loop.time() + limit_seconds
    found: dict = {}
    async with _ctl_output.progress(lambda: f"upstream {upstream}: {_load(found)}"):
        while loop.time() < end:
            try:
                found = await _find_upstream(client, upstream) or {}
            except (_ctl_client.NoReplyError, _ctl_client.UnreachableError) as error:
                _ctl_output.note(str(error))
            if found.get("state") in IDLE_STATES:
                return True
            await asyncio.sleep(POLL_SECONDS)
    _ctl_output.note(f"upstream {upstream} is not idle: {_load(found)}")
    return False


def _load(row: dict) -> str:
    return f"{row.get('running', 0)} running, {row.get('queued', 0)} queued"
