"""HTTP client sessions for the platform, whose sockets detect dead connections."""

import socket

import aiohttp

from daisyfall.connection import _keep_alive

CONNECT_TIMEOUT_S = 0.6
KEEP_ALIVE = _keep_alive.KeepAlive(idle_s=1, interval_s=1, count=1)
TCP_USER_TIMEOUT_MS = 1500
MAX_CONNECTIONS = 48


def open_session() -> aiohttp.ClientSession:
    """Return a session; each request sets its own total timeout (see `call_timeout`)."""
    connector = aiohttp.TCPConnector(
        limit=MAX_CONNECTIONS, socket_factory=_open_socket, use_dns_cache=False
    )
    timeout = aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S)
    return aiohttp.ClientSession(
        connector=connector,
        timeout=timeout,
        trust_env=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
    )


def call_timeout(total_s: float) -> aiohttp.ClientTimeout:
    """Return the timeouts of one request."""
    return aiohttp.ClientTimeout(total=total_s, sock_connect=min(total_s, CONNECT_TIMEOUT_S))


def _open_socket(address_info) -> socket.socket:
    family, kind, protocol, _, _ = address_info
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    KEEP_ALIVE.enable(opened)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    return opened
