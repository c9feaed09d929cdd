"""Decoding of JSON documents that other programs send."""

import json


def decode(document: bytes) -> object:
    """Return the value of a JSON document; raise `ValueError` if it is not valid.

    A document that is nested too deeply for the decoder counts as invalid too.
    """
    try:
        return json.loads(document)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error
