"""HTTP client sessions for the platform, whose sockets detect dead connections."""

import socket

import aiohttp

CONNECT_TIMEOUT_S = 0.6
# TCP keep-alive closes a dead idle connection after idle + interval * count seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 1
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
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    return opened
