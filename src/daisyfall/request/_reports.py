"""Agents' reports on jobs whose tasks an earlier owner has started."""

import collections

import attrs

from daisyfall.request import _work


def set_bits(bitmap: int) -> list[int]:
    """Return the positions of the bits that are set, in ascending order."""
    positions = []
    while bitmap:
        lowest = bitmap & -bitmap
        positions.append(lowest.bit_length() - 1)
        bitmap ^= lowest
    return positions


@attrs.define(slots=True)
class Report:
    """One agent's report on one job; the bitmaps hold task indices as integers."""

    incarnation: str
    digest: bytes
    task_count: int
    started: int
    finished: int


class Reports:
    """Reports by job and agent, kept until the job is submitted to this owner again."""

    def __init__(self):
        self._by_key: dict[_work.JobKey, dict[str, Report]] = {}
        self._keys_by_shard: dict[int, set[_work.JobKey]] = collections.defaultdict(set)

    def __len__(self) -> int:
        return len(self._by_key)

    def add(self, shard: int, agent_id: str, key: _work.JobKey, report: Report) -> None:
        """Store one report; it replaces an earlier one of the same agent."""
        self._by_key.setdefault(key, {})[agent_id] = report
        self._keys_by_shard[shard].add(key)

    def finished(self, agent_id: str, key: _work.JobKey, index: int) -> None:
        """Record a result that arrived before the job was submitted again."""
        report = self._by_key.get(key, {}).get(agent_id)
        if report is not None:
            report.finished |= 1 << index

    def not_started(self, agent_id: str, key: _work.JobKey, index: int) -> None:
        """Record that a reported task did not start; its agent doesn't have it any more."""
        report = self._by_key.get(key, {}).get(agent_id)
        if report is not None:
            report.started &= ~(1 << index)

    def for_job(self, key: _work.JobKey) -> dict[str, Report]:
        """Return the reports on a job, by agent."""
        return self._by_key.get(key, {})

    def forget(self, shard: int, key: _work.JobKey) -> None:
        """Remove the reports on a job that has been submitted again."""
        self._keys_by_shard[shard].discard(key)
        self._by_key.pop(key, None)

    def forget_shards(self, shards: set[int]) -> None:
        """Remove the reports of shards that are no longer owned."""
        for shard in shards:
            for key in self._keys_by_shard.pop(shard, ()):
                self._by_key.pop(key, None)

    def expire(self, is_expired) -> None:
        """Remove the reports of jobs whose ids are expired, according to `is_expired(job_id)`."""
        for keys in self._keys_by_shard.values():
            for key in [candidate for candidate in keys if is_expired(candidate[1])]:
                keys.discard(key)
                self._by_key.pop(key, None)
