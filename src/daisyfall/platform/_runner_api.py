"""HTTP API at which an agent's runner sends heartbeats and deregisters."""

import loguru
import orjson
from aiohttp import web

from daisyfall.platform import _runner
from daisyfall.process import _pool_agent

MAX_HEARTBEAT_BYTES = 4 * 1024 * 1024


def build(agent: _pool_agent.PoolAgent) -> web.Application:
    """Return the web application for the runner."""

    async def handle_heartbeat(request: web.Request) -> web.Response:
        runner_id = request.match_info["id"]
        try:
            body = orjson.loads(await request.read())
        except ValueError:
            body = None
        heartbeat = _runner.decode_heartbeat(runner_id, body)
        if heartbeat is None:
            loguru.logger.bind(runner=runner_id[:60]).warning("invalid heartbeat")
            agent.metrics.count_ignored_heartbeat("invalid")
        else:
            agent.handle_heartbeat(heartbeat)
        return web.json_response({})

    async def handle_deregister(request: web.Request) -> web.Response:
        agent.handle_deregistration(request.match_info["id"])
        return web.json_response({})

    application = web.Application(client_max_size=MAX_HEARTBEAT_BYTES)
    application.router.add_post("/instances/{id}/heartbeat", handle_heartbeat)
    application.router.add_post("/instances/{id}/deregister", handle_deregister)
    return application
