"""HTTP client of daisyfallctl: one request to an entry, with what is known about a failure."""

import asyncio
import json
import os
import pathlib
import urllib.parse
from collections.abc import Awaitable, Callable

import aiohttp
import attrs

from daisyfall import _command_line, _ctl_output

URL_VARIABLE = "DAISYFALL_URL"
TOKEN_VARIABLE = "DAISYFALL_TOKEN"
TOKEN_FILE_VARIABLE = "DAISYFALL_TOKEN_FILE"
DEFAULT_URL = "http://127.0.0.1:7200"
TIMEOUT_SECONDS = 10.0


class UnreachableError(Exception):
    """The entry could not be reached: the request was not sent."""


class NoReplyError(Exception):
    """The request was sent and no reply came: a write may have taken effect."""


class RefusedError(Exception):
    """The entry answered with an error; `body` is the whole reply."""

    def __init__(self, status: int, body: dict):
        error = body.get("error") if isinstance(body.get("error"), dict) else {}
        self.status = status
        self.body = body
        self.kind = str(error.get("kind", f"status {status}"))
        self.detail = str(error.get("detail", "the reply has no error object"))
        # Without a statement of the entry, only a refusal of the request itself is certain.
        self.run = error.get("run", "not run" if status < 500 else "may have run")
        self.retry = error.get("retry", "never")
        self.retry_after_ms = int(error.get("retry_after_ms") or 0)
        self.field = error.get("field", "")
        self.value = error.get("value")
        self.expected = error.get("expected", "")
        super().__init__(f"{self.kind}: {self.detail}")

    def lines(self) -> list[str]:
        """Return the message, and a line for each wrong field."""
        lines = [f"{self.kind}: {self.detail} ({self.run})"]
        if isinstance(self.value, list):
            wrong = [each for each in self.value if isinstance(each, dict)]
            form = "  {path}: found {value}, expected {expected}"
            lines += [form.format_map({"path": "", "value": "", "expected": ""} | x) for x in wrong]
        elif self.field:
            lines.append(f"  {self.field}: found {self.value}, expected {self.expected}")
        return lines


async def _send_once(request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType):
    """Keep aiohttp from sending again.

    It repeats PUT and DELETE by itself when the connection ends before the reply; a second
    PUT of the lists would be refused as a conflict with the first one.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise NoReplyError(f"no reply to {request.method} {request.url.path}: {error}") from error


@attrs.define
class Client:
    """Requests to one entry, or to the balancer in front of several."""

    url: str
    token: str = attrs.field(repr=False)
    session: aiohttp.ClientSession

    async def request(
        self,
        method: str,
        path: str,
        body: object = None,
        *,
        query: dict | None = None,
        timeout_seconds: float = TIMEOUT_SECONDS,
    ) -> tuple[int, dict]:
        """Return the status and JSON body of one request that is sent at most once."""
        headers = {"Authorization": f"Bearer {self.token}"} if self.token else {}
        timeout = aiohttp.ClientTimeout(total=timeout_seconds)
        try:
            async with self.session.request(
                method,
                f"{self.url}{path}",
                json=body,
                headers=headers,
                params=query,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                status, text = response.status, await response.text()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise UnreachableError(f"{self.url} can't be reached: {error}") from error
        except aiohttp.InvalidURL as error:
            raise _command_line.UsageError(f"{self.url!r} is not a valid URL") from error
        except (aiohttp.ClientError, TimeoutError, UnicodeDecodeError) as error:
            reason = f"{type(error).__name__} {error}".strip()
            raise NoReplyError(f"no reply to {method} {path}: {reason}") from error
        return status, _read_body(method, path, status, text)


def _read_body(method: str, path: str, status: int, text: str) -> dict:
    try:
        body = json.loads(text) if text else {}
    except ValueError:
        body = None
    if not isinstance(body, dict):
        if status < 400:
            raise NoReplyError(f"the reply to {method} {path} is not a JSON object")
        body = {}
    if status >= 400 or body.get("state") == "failed":
        raise RefusedError(status, body)
    return body


def quote(name: str) -> str:
    """Return a name as one segment of a path."""
    return urllib.parse.quote(name, safe="")


def read_token(environment: dict | None = None) -> str:
    """Return the bearer token from the environment, or from the file that it names."""
    variables = os.environ if environment is None else environment
    file = variables.get(TOKEN_FILE_VARIABLE)
    if not file:
        return variables.get(TOKEN_VARIABLE, "").strip()
    try:
        return pathlib.Path(file).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        problem = f"{TOKEN_FILE_VARIABLE} names {file}, which can't be read: {error}"
        raise _command_line.InputError(problem) from error


def run(url: str | None, work: Callable[[Client], Awaitable[int]], *, as_json: bool) -> int:
    """Run `work` with a client and turn failures into messages and exit statuses."""
    address = url or os.environ.get(URL_VARIABLE) or DEFAULT_URL
    if not str(address).startswith(("http://", "https://")):
        raise _command_line.UsageError(f"found URL {address!r}, expected http://host:port")
    token = read_token()
    try:
        return asyncio.run(_with_client(str(address).rstrip("/"), token, work))
    except UnreachableError as error:
        return _report("unreachable", str(error), _ctl_output.ExitStatus.UNREACHABLE, as_json)
    except NoReplyError as error:
        return _report("no_reply", str(error), _ctl_output.ExitStatus.UNKNOWN, as_json)
    except RefusedError as error:
        for line in error.lines():
            _ctl_output.note(line)
        if as_json:
            _ctl_output.show_json(error.body)
        return status_of(error)
    except KeyboardInterrupt:
        return _report("interrupted", "interrupted", _ctl_output.ExitStatus.FAILED, as_json)


def status_of(error: RefusedError) -> int:
    """Return the exit status for an error that an entry answered."""
    match error.kind:
        case "version_conflict":
            return _ctl_output.ExitStatus.CONFLICT
        case "lists_invalid":
            return _ctl_output.ExitStatus.INVALID
    if error.run == "not run":
        return _ctl_output.ExitStatus.REFUSED
    return _ctl_output.ExitStatus.MAY_HAVE_RUN


async def _with_client(url: str, token: str, work) -> int:
    async with aiohttp.ClientSession(middlewares=[_send_once]) as session:
        return await work(Client(url, token, session))


def _report(kind: str, text: str, status: int, as_json: bool) -> int:
    _ctl_output.note(text)
    if as_json:
        _ctl_output.show_json({"error": {"kind": kind, "detail": text}})
    return status
