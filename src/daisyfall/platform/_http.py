"""HTTP sessions towards the platform, with sockets that notice a silent connection."""

import socket

import aiohttp

CONNECT_LIMIT_S = 0.6
# Keep-alive probes end a silent connection after idle + interval * count seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 1
UNACKNOWLEDGED_LIMIT_MS = 1500
MOST_CONNECTIONS = 48


def open_session() -> aiohttp.ClientSession:
    """Return a session; each call sets its own total time limit."""
    connector = aiohttp.TCPConnector(
        limit=MOST_CONNECTIONS, socket_factory=_open_socket, use_dns_cache=False
    )
    timeout = aiohttp.ClientTimeout(sock_connect=CONNECT_LIMIT_S)
    return aiohttp.ClientSession(connector=connector, timeout=timeout, trust_env=False)


def limit(total_s: float) -> aiohttp.ClientTimeout:
    """Return the time limits of one call."""
    return aiohttp.ClientTimeout(total=total_s, sock_connect=min(total_s, CONNECT_LIMIT_S))


def _open_socket(address_info) -> socket.socket:
    family, kind, protocol, _, _ = address_info
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS)
    return opened
