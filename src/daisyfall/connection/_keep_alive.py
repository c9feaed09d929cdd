"""TCP keep-alive, by which the kernel detects dead connections that carry no data."""

import socket

import attrs


@attrs.frozen(kw_only=True)
class KeepAlive:
    """Resets an idle connection after `idle_s` + `count` * `interval_s` without an answer."""

    idle_s: int
    interval_s: int
    count: int

    def enable(self, opened: socket.socket) -> None:
        """Enable it for a TCP socket."""
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, self.idle_s)
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, self.interval_s)
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, self.count)
