"""Job ids (UUIDv7, RFC 9562), incarnation ids and the mapping of buyers to shards."""

import functools
import os
import uuid

import xxhash

from daisyfall import _clock

_VERSION_7 = 7


def new_job_id(wall_ms: int | None = None) -> str:
    """Return a new UUIDv7 with the timestamp `wall_ms` (in milliseconds, default: now)."""
    timestamp_ms = _clock.wall_ms() if wall_ms is None else wall_ms
    random_bits = int.from_bytes(os.urandom(10))
    value = (timestamp_ms & (1 << 48) - 1) << 80 | random_bits
    value = value & ~(0xF << 76) | _VERSION_7 << 76
    value = value & ~(0x3 << 62) | 0x2 << 62
    return str(uuid.UUID(int=value))


def job_id_time_ms(job_id: str) -> int:
    """Return the timestamp of a job id in ms (Unix time); raise ValueError if not UUIDv7."""
    parsed = uuid.UUID(job_id)
    if parsed.version != _VERSION_7 or str(parsed) != job_id:
        raise ValueError(f"{job_id!r} is not a UUIDv7 in lower-case canonical form")
    return parsed.int >> 80


def new_incarnation() -> str:
    """Return a random id that distinguishes a restarted process from its previous run."""
    return os.urandom(8).hex()


@functools.lru_cache(maxsize=65536)
def shard_of(buyer: str, shard_count: int) -> int:
    """Return the shard that a buyer's jobs belong to."""
    return xxhash.xxh64_intdigest(buyer.encode()) % shard_count


def rendezvous_winner(key: str, ids: list[str]) -> str:
    """Return the id with the highest rendezvous hash for `key`; `ids` must not be empty."""
    return max(
        ids, key=lambda node_id: (xxhash.xxh64_intdigest(f"{key}|{node_id}".encode()), node_id)
    )
