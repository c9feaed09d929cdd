"""HTTP API for operators."""

import asyncio
import uuid

from aiohttp import web

from daisyfall import _clock, _json, errors
from daisyfall.process import _metrics, _ownership, _settings, _shard_manager, _table
from daisyfall.request import _delivery
from daisyfall.version import _lists, _lists_diff, _publisher

DESIRED_STATES = ("started", "draining", "stopped")


class OperatorApi:
    """Request handlers for the lists, upstreams, entries and shard owners."""

    def __init__(
        self,
        settings: _settings.Settings,
        *,
        table: _table.Table,
        shard_manager: _shard_manager.ShardManager,
        publisher: _publisher.Publisher,
        delivery: _delivery.Delivery,
        metrics: _metrics.Metrics,
        peer_versions: dict[str, int],
    ):
        self._tokens = settings.operator_tokens
        self._table = table
        self._shard_manager = shard_manager
        self._publisher = publisher
        self._delivery = delivery
        self._metrics = metrics
        self._peer_versions = peer_versions
        self._upstreams = delivery.upstreams

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the operator API."""
        return [
            web.get("/v1/lists", self._authenticated(self.get_lists)),
            web.put("/v1/lists", self._authenticated(self.put_lists)),
            web.get("/v1/lists/history", self._authenticated(self.get_history)),
            web.get("/v1/lists/status", self._authenticated(self.get_status)),
            web.get("/v1/upstreams", self._authenticated(self.get_upstreams)),
            web.put("/v1/upstreams/{id}", self._authenticated(self.put_upstream)),
            web.delete("/v1/upstreams/{id}", self._authenticated(self.delete_upstream)),
            web.get("/v1/entries", self._authenticated(self.get_entries)),
            web.get("/v1/owners", self._authenticated(self.get_owners)),
        ]

    def _authenticated(self, handler):
        async def handle(request: web.Request) -> web.Response:
            scheme, _, bearer = request.headers.get("Authorization", "").partition(" ")
            try:
                if scheme != "Bearer" or not _lists.verify_operator(self._tokens, bearer):
                    raise errors.DispatchError(errors.Kind.UNAUTHORIZED)
                return await handler(request)
            except errors.DispatchError as error:
                self._metrics.count_refusal(error.kind)
                return _error_response(error)

        return handle

    # Lists.

    async def get_lists(self, _request: web.Request) -> web.Response:
        """Return the version in force with its documents."""
        accepted = self._publisher.accepted
        if accepted is None:
            raise errors.DispatchError(errors.Kind.LISTS_UNAVAILABLE)
        return web.json_response(
            {
                "version": accepted.version,
                "digest": accepted.digest,
                "apply_id": accepted.apply_id,
                "plans": accepted.plans,
                "allowances": accepted.allowances,
            }
        )

    async def put_lists(self, request: web.Request) -> web.Response:
        """Apply both lists if the version that the operator read is still in force."""
        body = await _read_object(request)
        base_version = body.get("base_version")
        if type(base_version) is not int or base_version < 0:
            raise errors.invalid_field(
                "base_version", base_version, "the version that was read, 0 for none"
            )
        for field in ("plans", "allowances"):
            if not isinstance(body.get(field), dict):
                raise errors.invalid_field(field, type(body.get(field)).__name__, "an object")
        apply_id = body.get("apply_id") or str(uuid.uuid4())
        try:
            lists = await self._publisher.apply(
                base_version, apply_id, body["plans"], body["allowances"]
            )
        except errors.DispatchError as error:
            if error.kind is not errors.Kind.VERSION_CONFLICT:
                raise
            await self._refresh()
            return _error_response(error, diff=self._diff(body))
        return web.json_response({"version": lists.version, "digest": lists.digest})

    async def _refresh(self) -> None:
        try:
            await self._publisher.read()
        except _table.TableError:
            return

    def _diff(self, body: dict) -> list[str]:
        accepted = self._publisher.accepted
        if accepted is None:
            return []
        submitted = {"plans": body["plans"], "allowances": body["allowances"]}
        current = {"plans": accepted.plans, "allowances": accepted.allowances}
        return _lists_diff.diff(current, submitted)

    async def get_history(self, _request: web.Request) -> web.Response:
        """Return the last accepted versions."""
        return web.json_response({"versions": await self._publisher.history()})

    async def get_status(self, _request: web.Request) -> web.Response:
        """Return the version of the lists that each process runs."""
        own_id = self._shard_manager.record.id
        rows = [{"id": own_id, "role": "entry", "version": self._publisher.version}]
        rows += [
            {"id": entry, "role": "entry", "version": version}
            for entry, version in sorted(self._peer_versions.items())
        ]
        rows += [
            {"id": session.agent_id, "role": "agent", "version": session.status.lists_version}
            for session in self._delivery.session_by_id.values()
            if session.status
        ]
        return web.json_response({"version": self._publisher.version, "processes": rows})

    # Upstreams.

    async def get_upstreams(self, _request: web.Request) -> web.Response:
        """Return the upstreams that are connected, have a table row, or have a desired state."""
        rows = [self._describe(session) for session in self._delivery.session_by_id.values()]
        known = {row["id"] for row in rows}
        absent = (set(self._upstreams.desired_state_by_id) | await self._listed()) - known
        rows += [
            {"id": agent, "state": "absent", "wish": self._upstreams.desired_state_of(agent)}
            | {"data_centre": "", "slots": 0, "running": 0, "queued": 0, "lists_version": 0}
            for agent in absent
        ]
        return web.json_response({"upstreams": sorted(rows, key=lambda row: row["id"])})

    async def _listed(self) -> set[str]:
        try:
            rows = await self._table.read([], [_ownership.AGENT_PREFIX])
        except _table.TableError:
            return set()  # the connected upstreams are shown even if the table is unavailable
        return {key.removeprefix(_ownership.AGENT_PREFIX) for key in rows}

    def _describe(self, session) -> dict:
        status = session.status
        if status is None:
            state = "connecting"
        elif not status.listed:
            state = "unlisted"
        elif status.draining or self._upstreams.desired_state_of(session.agent_id) != "started":
            state = "draining" if status.running or status.queued else "drained"
        else:
            state = "ready" if status.ready else "no runner"
        return {
            "id": session.agent_id,
            "state": state,
            "wish": self._upstreams.desired_state_of(session.agent_id),
            "data_centre": session.data_centre,
            "slots": status.slots if status else 0,
            "running": status.running if status else 0,
            "queued": status.queued if status else 0,
            "lists_version": status.lists_version if status else 0,
        }

    async def put_upstream(self, request: web.Request) -> web.Response:
        """Store the desired state of an upstream in the table."""
        agent_id = request.match_info["id"]
        desired = (await _read_object(request)).get("wish")
        if desired not in DESIRED_STATES:
            raise errors.invalid_field("wish", desired, f"one of {', '.join(DESIRED_STATES)}")
        key = _ownership.DESIRED_STATE_PREFIX + agent_id
        value = {"wish": desired, "at_ms": _clock.wall_ms()}
        await self._write(key, value)
        self._shard_manager.request_poll()
        return web.json_response({"id": agent_id, "wish": desired})

    async def delete_upstream(self, request: web.Request) -> web.Response:
        """Remove an upstream whose host is decommissioned."""
        agent_id = request.match_info["id"]
        if agent_id in self._delivery.session_by_id:
            raise errors.DispatchError(
                errors.Kind.VERSION_CONFLICT, f"upstream {agent_id} is connected; stop it first"
            )
        await self._write(_ownership.AGENT_PREFIX + agent_id, None)
        await self._write(_ownership.DESIRED_STATE_PREFIX + agent_id, None)
        for owned_shard in self._shard_manager.owned_shard_by_number.values():
            for instance_id in [
                missing for missing in owned_shard.horizon_by_missing if missing[0] == agent_id
            ]:
                del owned_shard.horizon_by_missing[instance_id]
        self._shard_manager.request_poll()
        return web.json_response({"id": agent_id, "removed": True})

    async def _write(self, key: str, value) -> None:
        """Write one row regardless of its content: the last writer wins."""
        for _ in range(3):
            try:
                row = (await self._table.read([key], [])).get(key, _table.ABSENT)
                if row.version or value is not None:
                    await self._table.transact(
                        [_table.Check(key, row.version)], [_table.Write(key, value)]
                    )
                return
            except _table.ConflictError:
                await asyncio.sleep(0)
            except _table.TableError as error:
                kind = errors.Kind.TABLE_UNAVAILABLE
                if error.effect is _table.Effect.UNKNOWN:
                    kind = errors.Kind.WRITE_UNKNOWN
                raise errors.DispatchError(kind, str(error)) from error
        raise errors.DispatchError(errors.Kind.VERSION_CONFLICT)

    # Entries.

    async def get_entries(self, _request: web.Request) -> web.Response:
        """Return all entries and their states."""
        now = _clock.monotonic()
        live_ids = set(self._shard_manager.view.live_entry_ids(now))
        rows = [
            {
                "id": entry.id,
                "incarnation": entry.incarnation,
                "address": entry.address,
                "http_address": entry.http_address,
                "data_centre": entry.data_centre,
                "state": entry.state if entry.id in live_ids else "silent",
            }
            for entry in self._shard_manager.view.entry_by_id.values()
        ]
        return web.json_response({"entries": sorted(rows, key=lambda row: row["id"])})

    async def get_owners(self, _request: web.Request) -> web.Response:
        """Return the owner, epoch and state of each shard."""
        rows = []
        for shard, record in sorted(self._shard_manager.view.shard_by_number.items()):
            owned_shard = self._shard_manager.owned_shard_by_number.get(shard)
            state = "owned" if record.owner else "released"
            if owned_shard is not None:
                state = "active" if owned_shard.active else "activating"
            rows.append(
                {"shard": shard, "epoch": record.epoch, "owner": record.owner, "state": state}
            )
        return web.json_response({"owners": rows})


def _error_response(error: errors.DispatchError, **more) -> web.Response:
    body = {"error": error.as_body()} | more
    return web.json_response(body, status=errors.RESPONSES[error.kind].status)


async def _read_object(request: web.Request) -> dict:
    try:
        body = _json.loads(await request.read())
    except ValueError as error:
        raise errors.DispatchError(errors.Kind.MALFORMED, str(error)) from error
    if not isinstance(body, dict):
        raise errors.invalid_field("body", type(body).__name__, "a JSON object")
    return body
