"""What the jobs of an entry need from the entry."""

from collections.abc import Callable

import attrs

from daisyfall.connection import _link
from daisyfall.policy import _job_queue


@attrs.frozen(kw_only=True)
class JobCallbacks:
    """Callbacks of `PoolJobManager`.

    `place` submits a placement request to the scheduling entry, `withdraw` cancels a job's pending
    placement requests there, `link_to` returns the link to an agent, `describe` returns the fields
    of the entry's state to log with a job, `on_dispatch` is called with the id of the agent before
    a task is sent to it, `dial` with that of an agent for which a task waits.
    """

    place: Callable[[_job_queue.TaskBatch], None]
    withdraw: Callable[[str], None]
    link_to: Callable[[str], _link.Link | None]
    describe: Callable[[], dict]
    on_dispatch: Callable[[str], None]
    dial: Callable[[str], None]
