"""Calls to the runner beside an agent, and the runner's own words about itself."""

import math

import aiohttp
import loguru

from daisyfall.platform import _http
from daisyfall.process import _leased_runner

_START_BY_REASON = {
    "room": _leased_runner.CallOutcome.NO_ROOM,
    "late": _leased_runner.CallOutcome.LATE,
    "fence": _leased_runner.CallOutcome.FENCED,
    "old": _leased_runner.CallOutcome.OLD_RUN,
}
_END_BY_WORD = {
    "done": _leased_runner.RunOutcome.DONE,
    "failed": _leased_runner.RunOutcome.FAILED,
    "stopped": _leased_runner.RunOutcome.STOPPED,
    "lapsed": _leased_runner.RunOutcome.LAPSED,
    "broken": _leased_runner.RunOutcome.BROKEN,
    # It waited for the other members of its gang in vain.
    "alone": _leased_runner.RunOutcome.BROKEN,
}
UNHEALTHY_STATUSES = frozenset({429, 503})
REPLACED_STATUS = 421


class HttpRunner:
    """One incarnation of a runner, as `_leased_runner.LeasedRunner`."""

    def __init__(self, session: aiohttp.ClientSession, report: _leased_runner.RunnerHeartbeat):
        self._session = session
        self._url = f"http://{report.address}"
        self._headers = {"X-Expected-Instance": report.id}

    async def start(
        self, order: _leased_runner.StartOrder, timeout_s: float
    ) -> tuple[_leased_runner.CallOutcome, float]:
        """Order a run; return the answer and the runner's clock (0 without one)."""
        body = {
            "Task": _task_name(order.task),
            "Run": order.run,
            "Specification": order.payload,
            "DeadlineMs": order.lease_until_ms,
            "FencingToken": order.token,
        }
        status, reply = await self._call("/run-start", body, timeout_s)
        clock_ms = _clock(reply)
        match status:
            case _leased_runner.CallOutcome():
                return status, clock_ms
            case 200:
                return _leased_runner.CallOutcome.STARTED, clock_ms
            case 409:
                reason = reply.get("Reason", "")
                return _START_BY_REASON.get(reason, _leased_runner.CallOutcome.REJECTED), clock_ms
        return _start_of(status), clock_ms

    async def stop(self, task: str, run: int, token: int, timeout_s: float) -> bool:
        """Order an end; tell whether the runner confirmed it."""
        body = {"Task": _task_name(task), "Run": run, "FencingToken": token}
        status, _ = await self._call("/run-stop", body, timeout_s)
        return status == 200

    async def renew_lease(
        self,
        lease_until_ms: int | None,
        token: int,
        acknowledged: int,
        wait_ms: int,
        timeout_s: float,
    ) -> _leased_runner.RunSnapshot | _leased_runner.RenewalFailed:
        """Renew the lease of all runs, acknowledge ends, and read both lists."""
        body = {"FencingToken": token, "AckCursor": acknowledged, "WaitMs": wait_ms}
        if lease_until_ms is not None:
            body["DeadlineMs"] = lease_until_ms
        status, reply = await self._call("/hold", body, wait_ms / 1000 + timeout_s)
        match status:
            case _leased_runner.CallOutcome():
                return _leased_runner.RenewalFailed(status)
            case 200:
                return _decode_reading(reply)
            case 409:
                reason = _START_BY_REASON.get(reply.get("Reason", ""))
                return _leased_runner.RenewalFailed(reason or _leased_runner.CallOutcome.REJECTED)
        return _leased_runner.RenewalFailed(_start_of(status))

    async def _call(
        self, path: str, body: dict, timeout_s: float
    ) -> tuple[int | _leased_runner.CallOutcome, dict]:
        """Return the status and body, or what it means that there is none."""
        try:
            async with self._session.post(
                f"{self._url}{path}",
                json=body,
                headers=self._headers,
                timeout=_http.limit(timeout_s),
            ) as reply:
                return reply.status, await _read_object(reply)
        except aiohttp.ClientConnectorError:
            return _leased_runner.CallOutcome.UNREACHABLE, {}
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            log = loguru.logger.bind(path=path, error=type(error).__name__)
            log.debug("the runner did not answer")
            return _leased_runner.CallOutcome.UNANSWERED, {}


def decode_report(runner_id: str, body: object) -> _leased_runner.RunnerHeartbeat | None:
    """Return a heartbeat's content, None if it is not a usable one."""
    if not isinstance(body, dict):
        return None
    try:
        capacity = body["Capacity"]
        state = body["State"]
        report = _leased_runner.RunnerHeartbeat(
            id=runner_id,
            born_ms=_whole(body.get("born", 0)),
            pool=_text(body["Service"]),
            address=_text(body["Address"]),
            cpu=_whole(capacity["Cpu"]),
            memory_mb=_whole(capacity["MemMb"]),
            accelerators=_whole(capacity.get("Gpu", 0)),
            # The runner's kind and its rack.
            labels=tuple(_text(each) for each in _list(body.get("Labels", []))),
            is_draining=state == "draining",
            remaining_ms=_whole(body.get("RemainingMs", 0)),
            sequence=_whole(body["Sequence"]),
        )
    except (KeyError, TypeError, ValueError, AttributeError):
        return None
    return report if state in ("ready", "draining") else None


def _task_name(task: str) -> str:
    """Return the platform's name of a task; the second part is the occurrence, 0 without any."""
    job, step, index = task.split(".")
    return f"{job}.0.{step}.{index}"


def _own_name(name: str) -> str:
    job, _, step, index = name.split(".")
    return f"{job}.{step}.{index}"


def _decode_reading(reply: dict) -> _leased_runner.RunSnapshot | _leased_runner.RenewalFailed:
    try:
        return _leased_runner.RunSnapshot(
            clock_ms=_clock(reply),
            born_ms=_whole(reply.get("born", 0)),
            running=tuple(
                _leased_runner.RunProgress(_own_name(row[0]), row[1], float(row[3]))
                for row in reply["Running"]
            ),
            ended=tuple(
                _leased_runner.EndedRun(row[0], _own_name(row[1]), row[2], _END_BY_WORD[row[3]])
                for row in reply["Finished"]
            ),
        )
    except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
        loguru.logger.bind(error=repr(error)).warning("the runner's lists can't be read")
        return _leased_runner.RenewalFailed(_leased_runner.CallOutcome.REJECTED)


def _start_of(status: int) -> _leased_runner.CallOutcome:
    if status in UNHEALTHY_STATUSES:
        return _leased_runner.CallOutcome.UNHEALTHY
    if status == REPLACED_STATUS:
        return _leased_runner.CallOutcome.REPLACED
    return _leased_runner.CallOutcome.REJECTED


def _clock(reply: dict) -> float:
    clock_ms = reply.get("ClockMs", 0)
    is_number = isinstance(clock_ms, int | float) and not isinstance(clock_ms, bool)
    return float(clock_ms) if is_number and math.isfinite(clock_ms) else 0.0


async def _read_object(reply: aiohttp.ClientResponse) -> dict:
    text = await reply.text()
    if not text:
        return {}
    body = await reply.json(content_type=None)
    return body if isinstance(body, dict) else {}


def _whole(value: object) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"expected a whole number, found {value!r}")
    return value


def _list(value: object) -> list:
    if not isinstance(value, list):
        raise ValueError(f"expected a list, found {value!r}")
    return value


def _text(value: object) -> str:
    if not isinstance(value, str):
        raise ValueError(f"expected a text, found {value!r}")
    return value
