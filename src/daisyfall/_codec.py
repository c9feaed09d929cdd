"""Codec of the messages between daisyfall's processes: CBOR arrays `[tag, field, ...]`.

Fields are encoded by position. Later protocol versions only append fields to a
message: a missing field takes its default, and additional fields are ignored.
"""

from typing import Any

import attrs
import cbor2

MAX_MESSAGE_BYTES = 16 * 1024 * 1024

_CLASS_BY_TAG: dict[int, type] = {}
# What the codec raises for bytes that are no message; a deep nesting exhausts the stack.
_DECODE_ERRORS = (
    cbor2.CBORDecodeError,
    KeyError,
    TypeError,
    ValueError,
    RecursionError,
    OverflowError,
    MemoryError,
)


class WireError(Exception):
    """A received message can't be decoded or is not valid for its receiver."""


def message(tag: int):
    """Return a class decorator that registers a frozen message class under its wire tag."""

    def register(cls: type) -> type:
        message_class = attrs.frozen(cls)
        _CLASS_BY_TAG[tag] = message_class
        message_class.TAG = tag
        message_class.FIELDS = tuple(field.name for field in attrs.fields(message_class))
        return message_class

    return register


def encode(message: Any) -> bytes:
    """Encode a message as CBOR."""
    return cbor2.dumps([message.TAG, *[getattr(message, name) for name in message.FIELDS]])


def decode(data: bytes) -> Any:
    """Decode one message; raise `WireError` if `data` is not a valid message."""
    try:
        return _decode_array(cbor2.loads(data))
    except _DECODE_ERRORS as error:
        raise WireError(f"{len(data)} bytes are not a known message: {error}") from error


def encode_batch(messages: list[Any]) -> bytes:
    """Encode several messages as one frame."""
    arrays = [
        [message.TAG, *[getattr(message, name) for name in message.FIELDS]] for message in messages
    ]
    return cbor2.dumps(arrays)


def decode_batch(data: bytes) -> list[Any]:
    """Decode a frame of `encode_batch`; raise `WireError` if it is not valid."""
    try:
        return [_decode_array(array) for array in cbor2.loads(data)]
    except _DECODE_ERRORS as error:
        raise WireError(f"{len(data)} bytes are not a batch of messages: {error}") from error


def _decode_array(array: list) -> Any:
    tag, *values = array
    message_class = _CLASS_BY_TAG[tag]
    return message_class(*values[: len(message_class.FIELDS)])
