"""HTTP client for an agent's runner, and decoding of the runner's heartbeats."""

import math
import reprlib

import aiohttp
import loguru
import orjson
import yarl

from daisyfall.platform import _addresses, _http
from daisyfall.process import _leased_runner

_OUTCOME_BY_REASON = {
    "room": _leased_runner.CallOutcome.NO_ROOM,
    "late": _leased_runner.CallOutcome.LATE,
    "fence": _leased_runner.CallOutcome.FENCED,
    "old": _leased_runner.CallOutcome.OLD_RUN,
}
_RUN_OUTCOME_BY_NAME = {
    "done": _leased_runner.RunOutcome.DONE,
    "failed": _leased_runner.RunOutcome.FAILED,
    "stopped": _leased_runner.RunOutcome.STOPPED,
    "lapsed": _leased_runner.RunOutcome.LAPSED,
    "broken": _leased_runner.RunOutcome.BROKEN,
    # The other tasks of its gang did not start in time.
    "alone": _leased_runner.RunOutcome.BROKEN,
}
START_PATH = "/run-start"
STOP_PATH = "/run-stop"
RENEW_PATH = "/hold"
UNHEALTHY_STATUSES = frozenset({429, 503})
# Larger numbers are not exact in all JSON parsers, so no runner sends them.
MAX_NUMBER = 2**53
MAX_LABELS = 100
MAX_NAME_LENGTH = 200
# Another incarnation of the runner answers at the address.
REPLACED_STATUS = 421


class RunnerClient:
    """Client of one incarnation of a runner; implements `_leased_runner.LeasedRunner`."""

    def __init__(self, session: aiohttp.ClientSession, heartbeat: _leased_runner.RunnerHeartbeat):
        self._session = session
        base = yarl.URL(f"http://{heartbeat.address}")
        # Built once, since a call is made for each task.
        self._url_by_path = {path: base / path[1:] for path in (START_PATH, STOP_PATH, RENEW_PATH)}
        self._headers = {"X-Expected-Instance": heartbeat.id, "Content-Type": "application/json"}

    async def start(
        self, order: _leased_runner.StartOrder, timeout_s: float
    ) -> tuple[_leased_runner.CallOutcome, float]:
        """Start a run; return the outcome and the runner's clock (0 if unknown)."""
        body = {
            "Task": _to_platform_task(order.task),
            "Run": order.run,
            "Specification": order.payload,
            "DeadlineMs": order.lease_until_ms,
            "FencingToken": order.token,
        }
        status, reply = await self._call(START_PATH, body, timeout_s)
        clock_ms = _decode_clock(reply)
        match status:
            case _leased_runner.CallOutcome():
                return status, clock_ms
            case 200:
                return _leased_runner.CallOutcome.STARTED, clock_ms
            case 409:
                reason = reply.get("Reason", "")
                return _OUTCOME_BY_REASON.get(reason, _leased_runner.CallOutcome.REJECTED), clock_ms
        return _outcome_of_status(status), clock_ms

    async def stop(self, task: str, run: int, token: int, timeout_s: float) -> bool:
        """Stop a run; return whether the runner confirmed it."""
        body = {"Task": _to_platform_task(task), "Run": run, "FencingToken": token}
        status, _ = await self._call(STOP_PATH, body, timeout_s)
        return status == 200

    async def renew_lease(
        self,
        lease_until_ms: int | None,
        token: int,
        acknowledged: int,
        wait_ms: int,
        timeout_s: float,
    ) -> _leased_runner.RunSnapshot | _leased_runner.RenewalFailed:
        """Renew the lease of all runs, acknowledge ended runs and return a snapshot of the runs."""
        body = {"FencingToken": token, "AckCursor": acknowledged, "WaitMs": wait_ms}
        if lease_until_ms is not None:
            body["DeadlineMs"] = lease_until_ms
        status, reply = await self._call(RENEW_PATH, body, wait_ms / 1000 + timeout_s)
        match status:
            case _leased_runner.CallOutcome():
                return _leased_runner.RenewalFailed(status)
            case 200:
                return _decode_runs(reply)
            case 409:
                reason = _OUTCOME_BY_REASON.get(reply.get("Reason", ""))
                return _leased_runner.RenewalFailed(reason or _leased_runner.CallOutcome.REJECTED)
        return _leased_runner.RenewalFailed(_outcome_of_status(status))

    async def _call(
        self, path: str, body: dict, timeout_s: float
    ) -> tuple[int | _leased_runner.CallOutcome, dict]:
        """Return the status and body of the reply; without a reply, what that implies."""
        try:
            async with self._session.post(
                self._url_by_path[path],
                data=orjson.dumps(body),
                headers=self._headers,
                timeout=_http.call_timeout(timeout_s),
            ) as reply:
                return reply.status, await _read_object(reply)
        except aiohttp.ClientConnectorError:
            return _leased_runner.CallOutcome.UNREACHABLE, {}
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            log = loguru.logger.bind(path=path, error=type(error).__name__)
            log.debug("the runner did not answer")
            return _leased_runner.CallOutcome.UNANSWERED, {}


def decode_heartbeat(runner_id: str, body: object) -> _leased_runner.RunnerHeartbeat | None:
    """Decode a heartbeat, which may come from another writer; return None if it names no runner."""
    if not isinstance(body, dict):
        return None
    try:
        capacity = body["Capacity"]
        state = body["State"]
        heartbeat = _leased_runner.RunnerHeartbeat(
            id=_check_id(runner_id),
            born_ms=_check_count(body.get("born", 0)),
            pool=_check_name(body["Service"]),
            address=_addresses.check(body["Address"]),
            cpu=_check_count(capacity["Cpu"]),
            memory_mb=_check_count(capacity["MemMb"]),
            accelerators=_check_count(capacity.get("Gpu", 0)),
            labels=_check_labels(body.get("Labels", [])),
            is_draining=state == "draining",
            remaining_ms=_check_count(body.get("RemainingMs", 0)),
            sequence=_check_count(body["Sequence"]),
        )
    except (KeyError, TypeError, ValueError, AttributeError):
        return None
    return heartbeat if state in ("ready", "draining") else None


def _to_platform_task(task: str) -> str:
    """Return the platform's name of a task.

    Its second part is the repetition of the job, 0 for a job that is not repeated.
    """
    job, step, index = task.split(".")
    return f"{job}.0.{step}.{index}"


def _from_platform_task(name: str) -> str:
    job, _, step, index = name.split(".")
    return f"{job}.{step}.{index}"


def _decode_runs(reply: dict) -> _leased_runner.RunSnapshot | _leased_runner.RenewalFailed:
    try:
        return _leased_runner.RunSnapshot(
            clock_ms=_decode_clock(reply),
            born_ms=_check_integer(reply.get("born", 0)),
            running=tuple(
                _leased_runner.RunProgress(
                    _from_platform_task(row[0]), _check_integer(row[1]), float(row[3])
                )
                for row in reply["Running"]
            ),
            ended=tuple(
                _leased_runner.EndedRun(
                    _check_integer(row[0]),
                    _from_platform_task(row[1]),
                    _check_integer(row[2]),
                    _RUN_OUTCOME_BY_NAME[row[3]],
                )
                for row in reply["Finished"]
            ),
        )
    except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
        loguru.logger.bind(error=repr(error)).warning("invalid lists of runs from the runner")
        return _leased_runner.RenewalFailed(_leased_runner.CallOutcome.REJECTED)


def _outcome_of_status(status: int) -> _leased_runner.CallOutcome:
    if status in UNHEALTHY_STATUSES:
        return _leased_runner.CallOutcome.UNHEALTHY
    if status == REPLACED_STATUS:
        return _leased_runner.CallOutcome.REPLACED
    return _leased_runner.CallOutcome.REJECTED


def _decode_clock(reply: dict) -> float:
    clock_ms = reply.get("ClockMs", 0)
    is_number = isinstance(clock_ms, int | float) and not isinstance(clock_ms, bool)
    return float(clock_ms) if is_number and math.isfinite(clock_ms) else 0.0


async def _read_object(reply: aiohttp.ClientResponse) -> dict:
    document = await reply.read()
    if not document:
        return {}
    body = orjson.loads(document)
    return body if isinstance(body, dict) else {}


def _check_integer(value: object) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"expected a whole number, found {reprlib.repr(value)}")
    return value


def _check_count(value: object) -> int:
    if not 0 <= _check_integer(value) <= MAX_NUMBER:
        raise ValueError(f"expected a whole number of 0 to {MAX_NUMBER}, found {value}")
    return value


def _check_id(value: str) -> str:
    # It is sent in a header of each call.
    if not value.isascii():
        raise ValueError(f"expected an id in ASCII, found {reprlib.repr(value)}")
    return _check_name(value)


def _check_name(value: object) -> str:
    if not isinstance(value, str) or not value.isprintable():
        raise ValueError(f"expected a printable text, found {reprlib.repr(value)}")
    if not 0 < len(value) <= MAX_NAME_LENGTH:
        raise ValueError(f"expected 1 to {MAX_NAME_LENGTH} characters, found {len(value)}")
    return value


def _check_labels(value: object) -> tuple[str, ...]:
    """Return the labels of a runner; among them are its kind and its rack."""
    if not isinstance(value, list) or len(value) > MAX_LABELS:
        raise ValueError(f"expected at most {MAX_LABELS} labels, found {reprlib.repr(value)}")
    return tuple(_check_name(label) for label in value)
