"""JSON documents of other processes."""

import json
from typing import Any


def loads(document: bytes | str) -> Any:
    """Parse a document; raise `ValueError` if it is not JSON or nested too deeply."""
    try:
        return json.loads(document)
    except RecursionError as error:
        raise ValueError("the document is nested too deeply") from error
