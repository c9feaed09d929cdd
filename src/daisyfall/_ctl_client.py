"""HTTP client of daisyfallctl, and the exit statuses for its errors."""

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
    """No connection to the entry could be established; the request was not sent."""


class NoResponseError(Exception):
    """The request was sent and no valid response came; a write may have taken effect."""


class ApiError(Exception):
    """The entry responded with an error; `body` is the complete response."""

    def __init__(self, status: int, body: dict):
        error = body.get("error") if isinstance(body.get("error"), dict) else {}
        self.status = status
        self.body = body
        self.kind = str(error.get("kind", f"status {status}"))
        self.detail = str(error.get("detail", "the reply has no error object"))
        # If the error does not state it, only a status below 500 proves that nothing was run.
        self.execution_status = error.get("run", "not run" if status < 500 else "may have run")
        self.retry = error.get("retry", "never")
        self.retry_after_ms = int(error.get("retry_after_ms") or 0)
        self.field = error.get("field", "")
        self.value = error.get("value")
        self.expected = error.get("expected", "")
        super().__init__(f"{self.kind}: {self.detail}")

    def message_lines(self) -> list[str]:
        """Return the message and one line for each invalid field."""
        lines = [f"{self.kind}: {self.detail} ({self.execution_status})"]
        if isinstance(self.value, list):
            invalid_fields = [each for each in self.value if isinstance(each, dict)]
            template = "  {path}: found {value}, expected {expected}"
            lines += [
                template.format_map({"path": "", "value": "", "expected": ""} | each)
                for each in invalid_fields
            ]
        elif self.field:
            lines.append(f"  {self.field}: found {self.value}, expected {self.expected}")
        return lines


async def _prevent_resend(request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType):
    """Prevent aiohttp from resending a request.

    By default it retries PUT and DELETE when the connection closes before the response; a
    second PUT of the lists would be rejected as a conflict with the first one.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise NoResponseError(
            f"no reply to {request.method} {request.url.path}: {error}"
        ) from error


@attrs.define
class Client:
    """HTTP client for an entry, or for a load balancer in front of several entries."""

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
        """Send a request at most once; return the status and JSON body of the response."""
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
            raise NoResponseError(f"no reply to {method} {path}: {reason}") from error
        return status, _read_body(method, path, status, text)


def _read_body(method: str, path: str, status: int, text: str) -> dict:
    try:
        body = json.loads(text) if text else {}
    except ValueError:
        body = None
    if not isinstance(body, dict):
        if status < 400:
            raise NoResponseError(f"the reply to {method} {path} is not a JSON object")
        body = {}
    if status >= 400 or body.get("state") == "failed":
        raise ApiError(status, body)
    return body


def quote_path_segment(name: str) -> str:
    """Return a name escaped for use as one segment of a URL path."""
    return urllib.parse.quote(name, safe="")


def read_token(environment: dict | None = None) -> str:
    """Return the bearer token; a token file named in the environment takes precedence."""
    variables = os.environ if environment is None else environment
    file = variables.get(TOKEN_FILE_VARIABLE)
    if not file:
        return variables.get(TOKEN_VARIABLE, "").strip()
    try:
        return pathlib.Path(file).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        problem = f"{TOKEN_FILE_VARIABLE} names {file}, which can't be read: {error}"
        raise _command_line.InputError(problem) from error


def run_operation(
    url: str | None,
    operation: Callable[[Client], Awaitable[int]],
    *,
    as_json: bool,
    sends_token: bool = True,
) -> int:
    """Run `operation` with a client; report failures and return the exit status."""
    address = url or os.environ.get(URL_VARIABLE) or DEFAULT_URL
    if not str(address).startswith(("http://", "https://")):
        raise _command_line.UsageError(f"found URL {address!r}, expected http://host:port")
    token = read_token() if sends_token else ""
    try:
        return asyncio.run(_with_client(str(address).rstrip("/"), token, operation))
    except UnreachableError as error:
        return _report_failure(
            "unreachable", str(error), _ctl_output.ExitStatus.UNREACHABLE, as_json
        )
    except NoResponseError as error:
        return _report_failure("no_reply", str(error), _ctl_output.ExitStatus.UNKNOWN, as_json)
    except ApiError as error:
        for line in error.message_lines():
            _ctl_output.print_message(line)
        if as_json:
            _ctl_output.print_json(error.body)
        return exit_status_for(error)
    except KeyboardInterrupt:
        return _report_failure("interrupted", "interrupted", _ctl_output.ExitStatus.FAILED, as_json)


def exit_status_for(error: ApiError) -> int:
    """Return the exit status for an error response of an entry."""
    match error.kind:
        case "version_conflict":
            return _ctl_output.ExitStatus.CONFLICT
        case "lists_invalid":
            return _ctl_output.ExitStatus.INVALID
    if error.execution_status == "not run":
        return _ctl_output.ExitStatus.REFUSED
    return _ctl_output.ExitStatus.MAY_HAVE_RUN


async def _with_client(url: str, token: str, operation) -> int:
    async with aiohttp.ClientSession(middlewares=[_prevent_resend]) as session:
        return await operation(Client(url, token, session))


def _report_failure(kind: str, message: str, status: int, as_json: bool) -> int:
    _ctl_output.print_message(message)
    if as_json:
        _ctl_output.print_json({"error": {"kind": kind, "detail": message}})
    return status
