"""Checks of addresses in documents that any writer may have written."""

import ipaddress

MAX_PORT = 65_535


def check(value: object) -> str:
    """Return an IPv4 address and port, `host:port`; raise `ValueError` for anything else."""
    if not isinstance(value, str):
        raise ValueError("the address is not a text")
    host, _, port = value.partition(":")
    ipaddress.IPv4Address(host)
    if not (port.isascii() and port.isdecimal() and 0 < int(port[:6]) <= MAX_PORT):
        raise ValueError("the address has no valid port")
    return value
