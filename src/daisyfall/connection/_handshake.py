"""Authentication and version negotiation on a new websocket between two processes."""

import asyncio
import os

import attrs

from daisyfall import _codec, _wire

HANDSHAKE_TIMEOUT_SECONDS = 3.0


class HandshakeError(Exception):
    """One of the two sides refused the other; the text is the reason."""


async def accept(socket, keys: list[str], node_id: str, incarnation: str) -> _wire.Hello:
    """Authenticate the dialling side; return its Hello or raise `HandshakeError`."""
    nonce = os.urandom(16)
    await socket.send(_codec.encode(_wire.Challenge(nonce, _wire.MIN_VERSION, _wire.MAX_VERSION)))
    hello = await _receive(socket)
    reason = _refusal_reason(hello, keys, nonce)
    if reason:
        await socket.send(_codec.encode(_wire.Rejected(reason)))
        raise HandshakeError(reason)
    await socket.send(_codec.encode(_wire.Welcome(node_id, incarnation, hello.version)))
    return hello


async def connect(socket, key: str, hello: _wire.Hello) -> _wire.Welcome:
    """Authenticate to the accepting side; sets version and proof of `hello`."""
    challenge = await _receive(socket)
    if not isinstance(challenge, _wire.Challenge):
        raise HandshakeError(f"expected a Challenge, found {type(challenge).__name__}")
    version = min(_wire.MAX_VERSION, challenge.max_version)
    if version < max(_wire.MIN_VERSION, challenge.min_version):
        raise HandshakeError(
            f"protocol versions {challenge.min_version}..{challenge.max_version} offered, "
            f"{_wire.MIN_VERSION}..{_wire.MAX_VERSION} supported"
        )
    proof = _wire.compute_proof(key, challenge.nonce)
    await socket.send(_codec.encode(attrs.evolve(hello, version=version, proof=proof)))
    welcome = await _receive(socket)
    match welcome:
        case _wire.Welcome():
            return welcome
        case _wire.Rejected(reason=reason):
            raise HandshakeError(reason)
    raise HandshakeError(f"expected a Welcome, found {type(welcome).__name__}")


async def _receive(socket):
    try:
        data = await asyncio.wait_for(socket.recv(), HANDSHAKE_TIMEOUT_SECONDS)
        return _codec.decode(data)
    except TimeoutError as error:
        raise HandshakeError(f"no message within {HANDSHAKE_TIMEOUT_SECONDS} s") from error
    except _codec.WireError as error:
        raise HandshakeError(str(error)) from error


def _refusal_reason(hello, keys: list[str], nonce: bytes) -> str:
    if not isinstance(hello, _wire.Hello):
        return f"expected a Hello, found {type(hello).__name__}"
    if not _wire.verify_proof(keys, nonce, hello.proof):
        return "wrong key"
    if not _wire.MIN_VERSION <= hello.version <= _wire.MAX_VERSION:
        supported = f"{_wire.MIN_VERSION}..{_wire.MAX_VERSION}"
        return f"protocol version {hello.version} is unknown, {supported} are supported"
    return ""
