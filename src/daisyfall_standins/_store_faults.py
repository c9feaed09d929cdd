"""Fault injection for the platform stand-ins (table and object store)."""

import asyncio
import enum
import random
from collections.abc import Callable

import attrs
from aiohttp import web

from daisyfall_standins import _server

CLIENT_HEADER = "X-Client"
_CONTROL_PATHS = ("/v1/fault", "/v1/stats", "/readyz", "/healthz")


class FaultMode(enum.Enum):
    """How a request is treated that the fault applies to."""

    NONE = "none"
    DOWN = "down"  # answered with 503, not applied
    SLOW = "slow"  # served after a delay
    LOST_REPLY = (
        "lost_reply"  # writes: applied, then connection closed without response; reads: served
    )
    DROP = "drop"  # connection closed without response, not applied


@attrs.frozen
class Fault:
    """The configured fault; it hits a `share` of the requests, an empty `clients` means all."""

    mode: FaultMode = FaultMode.NONE
    share: float = attrs.field(
        default=1.0, validator=[attrs.validators.ge(0), attrs.validators.le(1)]
    )
    delay_ms: float = attrs.field(default=0.0, validator=attrs.validators.ge(0))
    clients: list[str] = attrs.Factory(list)


class FaultInjector:
    """Applies the configured fault to the requests of an application.

    `is_write` tells the requests that mode `lost_reply` applies to.
    """

    def __init__(self, is_write: Callable[[web.Request], bool], seed: int = 0):
        self.fault = Fault()
        self.affected_requests = 0
        self._is_write = is_write
        self._random = random.Random(seed)

    def application(self) -> web.Application:
        """Return an application with the fault middleware and the `PUT /v1/fault` route."""
        application = _server.new_application((self._intercept,))
        application.router.add_put("/v1/fault", self._set)
        return application

    def _select_mode(self, request: web.Request) -> FaultMode:
        """Return how to treat this request."""
        fault = self.fault
        if fault.clients and request.headers.get(CLIENT_HEADER) not in fault.clients:
            return FaultMode.NONE
        if fault.mode is FaultMode.LOST_REPLY and not self._is_write(request):
            return FaultMode.NONE
        return fault.mode if self._random.random() < fault.share else FaultMode.NONE

    async def _set(self, request: web.Request) -> web.Response:
        self.fault = await _server.read_body(request, Fault)
        return web.json_response({"mode": self.fault.mode.value})

    @web.middleware
    async def _intercept(self, request: web.Request, handler) -> web.StreamResponse:
        if request.path in _CONTROL_PATHS:
            return await handler(request)
        mode = self._select_mode(request)
        self.affected_requests += mode is not FaultMode.NONE
        match mode:
            case FaultMode.DOWN:
                return web.json_response({"error": "down"}, status=503)
            case FaultMode.DROP:
                return _server.close_connection(request)
            case FaultMode.LOST_REPLY:
                await handler(request)
                return _server.close_connection(request)
            case FaultMode.SLOW:
                await asyncio.sleep(self.fault.delay_ms / 1000)
        return await handler(request)
