"""Codec of the messages between daisyfall's processes: CBOR arrays `[tag, field, ...]`.

Fields are encoded by position. Later protocol versions only append fields to a
message: a missing field takes its default, and additional fields are ignored. A value of another
type than its field is an error.
"""

import types
import typing
from collections.abc import Callable
from typing import Any

import attrs
import cbor2

MAX_MESSAGE_BYTES = 16 * 1024 * 1024

_CLASS_BY_TAG: dict[int, type] = {}
# Raised for bytes that are no message of this protocol.
_DECODE_ERRORS = (cbor2.CBORDecodeError, KeyError, TypeError, ValueError)


class WireError(Exception):
    """A received message can't be decoded or is not valid for its receiver."""


def message(tag: int):
    """Return a class decorator that registers a frozen message class under its wire tag."""

    def register(cls: type) -> type:
        message_class = attrs.frozen(cls)
        _CLASS_BY_TAG[tag] = message_class
        message_class.TAG = tag
        fields = attrs.fields(message_class)
        message_class.FIELDS = tuple(field.name for field in fields)
        message_class.CHECKS = tuple(_type_check(field.type) for field in fields)
        return message_class

    return register


def encode(message: Any) -> bytes:
    """Encode a message as CBOR."""
    return cbor2.dumps(_encode_array(message))


def decode(data: bytes) -> Any:
    """Decode one message; raise `WireError` if `data` is not a valid message."""
    try:
        return _decode_array(cbor2.loads(data))
    except _DECODE_ERRORS as error:
        raise WireError(f"{len(data)} bytes are not a known message: {error}") from error


def encode_batch(messages: list[Any]) -> bytes:
    """Encode several messages as one frame."""
    return cbor2.dumps([_encode_array(message) for message in messages])


def decode_batch(data: bytes) -> list[Any]:
    """Decode a frame of `encode_batch`; raise `WireError` if it is not valid."""
    try:
        return [_decode_array(array) for array in cbor2.loads(data)]
    except _DECODE_ERRORS as error:
        raise WireError(f"{len(data)} bytes are not a batch of messages: {error}") from error


def _encode_array(message: Any) -> list:
    return [message.TAG, *[getattr(message, name) for name in message.FIELDS]]


def _decode_array(array: list) -> Any:
    tag, *values = array
    message_class = _CLASS_BY_TAG[tag]
    # The sender may know more fields, or fewer.
    for name, has_type, value in zip(
        message_class.FIELDS, message_class.CHECKS, values, strict=False
    ):
        if not has_type(value):
            raise TypeError(f"{message_class.__name__}.{name} is a {type(value).__name__}")
    return message_class(*values[: len(message_class.FIELDS)])


def _type_check(declared: Any) -> Callable[[Any], bool]:
    """Return a predicate for the values of a field with this annotation."""
    if declared is Any:
        return lambda _value: True
    if isinstance(declared, types.GenericAlias):
        container, (item,) = typing.get_origin(declared), typing.get_args(declared)
        return lambda value: type(value) is container and all(type(each) is item for each in value)
    accepted = (int, float) if declared is float else (declared,)
    return lambda value: type(value) in accepted
