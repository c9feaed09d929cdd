"""Rows of the table of nodes, in which each process registers itself."""

import attrs
import orjson

from daisyfall import _pool_wire
from daisyfall.platform import _addresses


@attrs.frozen
class NodeRow:
    """Value of a process's row in the table of nodes."""

    role: str
    address: str

    def encode(self) -> bytes:
        """Encode the value of the row."""
        return orjson.dumps({"role": self.role, "address": self.address})

    @staticmethod
    def decode(value: bytes) -> "NodeRow | None":
        """Decode the value of a row; return None if it names no node."""
        try:
            body = orjson.loads(value)
            role, address = body["role"], _addresses.check(body["address"])
        except (ValueError, KeyError, TypeError):
            return None
        return NodeRow(role, address) if role in _pool_wire.ROLES else None
