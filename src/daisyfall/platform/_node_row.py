"""Rows of the table of nodes, in which each process registers itself."""

import json

import attrs

from daisyfall.platform import _json


@attrs.frozen
class NodeRow:
    """Value of a process's row in the table of nodes."""

    role: str
    address: str

    def encode(self) -> bytes:
        """Encode the value of the row."""
        return json.dumps({"role": self.role, "address": self.address}).encode()

    @staticmethod
    def decode(value: bytes) -> "NodeRow | None":
        """Decode the value of a row; return None if it is not valid."""
        try:
            body = _json.decode(value)
            return NodeRow(str(body["role"]), str(body["address"]))
        except (ValueError, KeyError, TypeError):
            return None
