"""A job's tasks as the dispatcher sees them."""

import attrs

Key = tuple[str, str]  # buyer, job id


@attrs.define(slots=True)
class Task:
    """One task of a job; `run_ms` is the declared run time, often far off."""

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
    """The tasks of one job that are to be started; `deadline` is on the monotonic clock."""

    buyer: str
    job_id: str
    shard: int
    tasks: list[Task]
    deadline: float

    @property
    def key(self) -> Key:
        """Return the job's key."""
        return (self.buyer, self.job_id)
