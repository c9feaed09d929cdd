"""Clients of an upstream's runner; a client sends each task at most once and never retries."""

import asyncio
import dataclasses
from typing import Protocol

import aiohttp
import attrs

from daisyfall import _json
from daisyfall.request import _task_queue

# Several results share one link message, so each must stay well below the message size limit.
RESULT_LIMIT_BYTES = 4 * 1024 * 1024
CONNECT_TIMEOUT_SECONDS = 1.0
# Shorter than the usual keep-alive timeouts of HTTP servers (5 s and 75 s). If the server closes
# an idle connection while a request is sent on it, the task counts as lost.
KEEPALIVE_SECONDS = 2.0
# Reasons of `NotStarted`. Owners use them as label values of retry metrics, so the set is fixed.
REASON_NO_CONNECTION = "runner_unreachable"
REASON_REFUSED = "runner_refused"


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The task ran; `value` is its result."""

    value: object


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The task ran and failed."""

    error: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotStarted:
    """The task provably did not start."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The task may have started, but its result will never be known."""

    reason: str


Outcome = Done | Failed | NotStarted | Lost


class Runner(Protocol):
    """Client of a runner, as an agent uses it."""

    async def run(self, queued: _task_queue.QueuedTask) -> Outcome:
        """Run one task; if the call is cancelled, the task may still have started."""

    async def close(self) -> None:
        """Wait for running tasks, then close the connections."""


@attrs.frozen
class HttpTarget:
    """Address of an HTTP runner; `run_limit_seconds` limits the run time of one task."""

    url: str
    connections: int
    run_limit_seconds: float


@attrs.frozen
class NullTarget:
    """A runner that executes nothing, used to measure the throughput of an entry."""


def connect(target: HttpTarget | NullTarget) -> Runner:
    """Return the client for a target."""
    match target:
        case HttpTarget():
            return HttpRunner(target)
        case NullTarget():
            return NullRunner()
    raise TypeError(f"expected a runner target, found {type(target).__name__}")


class NullRunner:
    """Client that reports success immediately without running anything."""

    async def run(self, _queued: _task_queue.QueuedTask) -> Outcome:
        """See `Runner.run`."""
        return Done(None)

    async def close(self) -> None:
        """See `Runner.close`."""


class HttpRunner:
    """Client of the runner's HTTP protocol (`POST /v1/tasks`)."""

    def __init__(self, target: HttpTarget):
        self._url = f"{target.url.rstrip('/')}/v1/tasks"
        connector = aiohttp.TCPConnector(
            limit=target.connections, keepalive_timeout=KEEPALIVE_SECONDS
        )
        timeout = aiohttp.ClientTimeout(
            total=target.run_limit_seconds, sock_connect=CONNECT_TIMEOUT_SECONDS
        )
        self._session = aiohttp.ClientSession(connector=connector, timeout=timeout)
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()

    async def run(self, queued: _task_queue.QueuedTask) -> Outcome:
        """See `Runner.run`."""
        self._in_flight += 1
        self._idle.clear()
        try:
            return await self._post(queued)
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                self._idle.set()

    async def close(self) -> None:
        """See `Runner.close`."""
        await self._idle.wait()
        await self._session.close()

    async def _post(self, queued: _task_queue.QueuedTask) -> Outcome:
        try:
            # Following a redirect would send the task a second time.
            async with self._session.post(
                self._url, json=_encode_task(queued), allow_redirects=False
            ) as response:
                return _parse_outcome(response.status, await _read_limited(response))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return NotStarted(REASON_NO_CONNECTION)
        except TimeoutError:
            return Lost("the runner did not answer within the time limit")
        except (aiohttp.ClientError, OSError) as error:
            return Lost(f"the request was cut off: {type(error).__name__} {error}")


def _encode_task(queued: _task_queue.QueuedTask) -> dict:
    buyer, job_id = queued.key
    task = queued.task
    return {
        "task_id": f"{buyer}/{job_id}/{task.index}",
        "kind": task.kind,
        "payload": task.payload,
        "run_ms": task.run_ms,
        "memory_mb": task.memory_mb,
        "accelerators": task.accelerators,
    }


async def _read_limited(response: aiohttp.ClientResponse) -> bytes | None:
    """Return the body, None if it exceeds `RESULT_LIMIT_BYTES`."""
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > RESULT_LIMIT_BYTES:
            return None
    return bytes(body)


def _parse_outcome(status: int, body: bytes | None) -> Outcome:
    if body is None:
        return Lost(f"the runner's answer is larger than {RESULT_LIMIT_BYTES} bytes")
    try:
        answer = _json.loads(body)
    except ValueError:
        answer = None
    match status, answer:
        case 200, {"result": value}:
            return Done(value)
        case 422, {"error": error}:
            return Failed(str(error))
        case 503, {"started": False}:
            return NotStarted(REASON_REFUSED)
    return Lost(f"status {status} from the runner, expected 200, 422 or 503 with started false")
