"""Jobs and tasks in the form that the dispatcher schedules."""

import attrs

from daisyfall import _ids

JobKey = tuple[str, str]  # buyer, job id


@attrs.define(slots=True)
class Task:
    """One task of a job; `run_ms` is the declared run time, which is often inaccurate."""

    index: int
    kind: str
    payload: object
    run_ms: int
    memory_mb: int = 0
    accelerators: int = 0

    def as_wire(self) -> list:
        """Return the task's item in a `Start` or `Submit` message."""
        return [
            self.index,
            self.kind,
            self.payload,
            self.run_ms,
            self.memory_mb,
            self.accelerators,
        ]


@attrs.define(slots=True, eq=False)
class Work:
    """The tasks of one job that are to be started; `deadline` is on the monotonic clock.

    `digest` and `task_count` describe the whole job. After a takeover, `tasks` may
    lack the tasks that an earlier owner has started.
    """

    buyer: str
    job_id: str
    shard: int
    tasks: list[Task]
    deadline: float
    digest: bytes = b""
    task_count: int = 0

    @property
    def key(self) -> JobKey:
        """Return the job's key."""
        return (self.buyer, self.job_id)


def shard_of(key: JobKey, shard_count: int) -> int:
    """Return the shard of a job."""
    return _ids.shard_of(key[0], shard_count)
