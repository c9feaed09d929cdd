"""Handles task messages from entries: connects the ledger, the queue, the runner and the links."""

import asyncio
from collections.abc import Callable

import loguru

from daisyfall import _clock, _wire
from daisyfall.connection import _entry_link
from daisyfall.process import _metrics, _runner
from daisyfall.request import _ledger, _task_queue, _work

REASON_CANCELLED = "cancelled"
REASON_RECALLED = "recalled"
REASON_TOO_LARGE = "too_large"
# Time that an entry gets after a fence report to fetch the results that it lacks.
FETCH_GRACE_SECONDS = 0.3

_UNREACHABLE = _runner.NotStarted(_runner.REASON_NO_CONNECTION)
_OUTCOME_NAMES = {
    _wire.DONE: "done",
    _wire.FAILED: "failed",
    _wire.NOT_STARTED: "not_started",
    _wire.LOST: "lost",
}


class Executor:
    """Runs tasks at the runner and sends their results to the owning entries.

    `find_link` returns the open link to an entry by its id, None without one.
    `unavailable_reason` returns why no tasks are accepted, empty if they are.
    `on_unreachable` is called when the runner accepts no connection.
    """

    def __init__(
        self,
        ledger: _ledger.Ledger,
        metrics: _metrics.Metrics,
        find_link: Callable[[str], _entry_link.EntryLink | None],
        unavailable_reason: Callable[[], str],
        on_unreachable: Callable[[], None],
    ):
        self._ledger = ledger
        self._metrics = metrics
        self._find_link = find_link
        self._unavailable_reason = unavailable_reason
        self._on_unreachable = on_unreachable
        self._queue = _task_queue.TaskQueue()
        self._runner: _runner.Runner | None = None
        self._running: dict[tuple[_work.JobKey, int], tuple] = {}  # (queued task, asyncio task)
        self._idle = asyncio.Event()
        self._idle.set()
        self._reconciled_at_by_entry: dict[str, float] = {}  # last Fence or FetchResults
        self._result_at_by_shard: dict[int, float] = {}

    @property
    def running(self) -> int:
        """Return the number of tasks that are running."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Return the number of queued tasks."""
        return len(self._queue)

    def use_runner(self, runner: _runner.Runner | None, capacity: _task_queue.Capacity) -> None:
        """Replace the runner; queued tasks that exceed its capacity are returned."""
        self._runner = runner
        self._queue.capacity = capacity
        if runner is not None:
            oversized = self._queue.remove(lambda queued: not self._queue.can_ever_fit(queued.task))
            self._return_not_started(oversized, REASON_TOO_LARGE)
        self._start_queued()

    async def wait_idle(self) -> None:
        """Wait until no task is running."""
        await self._idle.wait()

    def are_results_delivered(self, recent_seconds: float) -> bool:
        """Return whether the owner of each recent result received it or had time to fetch it."""
        now = _clock.monotonic()
        if any(now < at + FETCH_GRACE_SECONDS for at in self._reconciled_at_by_entry.values()):
            return False
        recent = [
            (shard, at)
            for shard, at in self._result_at_by_shard.items()
            if now < at + recent_seconds
        ]
        return all(self._is_owner_informed(shard, at) for shard, at in recent)

    def _is_owner_informed(self, shard: int, result_at: float) -> bool:
        owner = self._ledger.owner_of(shard)
        link = self._find_link(owner)
        if link is None:
            return False
        # A result that was sent on an earlier link may be lost. The owner has it if the link is
        # older than the result, or if the owner has reconciled since the link was opened.
        reconciled_at = self._reconciled_at_by_entry.get(owner, 0.0)
        return link.opened_at <= max(result_at, reconciled_at)

    def on_start(self, link: _entry_link.EntryLink, start: _wire.Start) -> None:
        """Queue the tasks of a `Start` message, or refuse them."""
        now = _clock.monotonic()
        decision = self._ledger.accept(start, link.entry_id, now, self._unavailable_reason())
        if decision.epoch_raised:
            self._drop_stale_tasks(start.shard)
        self._send_items(link, decision.repeated)
        match decision:
            case _ledger.Refused():
                self._refuse(link, start, decision)
            case _ledger.Accepted(tasks=tasks):
                self._enqueue(_task_queue.from_start(start, tasks))
                self._start_queued()

    def on_fence(self, link: _entry_link.EntryLink, fence: _wire.Fence) -> None:
        """Raise the epochs of the shards and report the ledger's jobs of each shard."""
        self._reconciled_at_by_entry[link.entry_id] = _clock.monotonic()
        for shard, epoch in fence.epochs.items():
            known_epoch = self._ledger.epoch_of(shard)
            if epoch < known_epoch:
                link.send(self._ledger.stale_report(shard))
                continue
            if self._ledger.fence(shard, epoch, link.entry_id):
                self._drop_stale_tasks(shard)
            for report in self._ledger.report(shard):
                link.send(report)

    def on_fetch(self, link: _entry_link.EntryLink, fetch: _wire.FetchResults) -> None:
        """Send the results of a job again, or empty `Results` if there are none."""
        self._reconciled_at_by_entry[link.entry_id] = _clock.monotonic()
        items = self._ledger.results((fetch.buyer, fetch.job_id))
        self._send_items(link, items)
        if not items:
            link.send(_wire.Results([], self.running, self.queued))

    def on_cancel(self, link: _entry_link.EntryLink, cancel: _wire.Cancel) -> None:
        """Drop queued tasks of jobs that the sender owns; stop running ones on request."""
        keys = {(buyer, job_id) for buyer, job_id in cancel.jobs}
        owned = {key for key in keys if self._owner_of_job(key) == link.entry_id}
        indices_by_key: dict[_work.JobKey, list[int]] = {key: [] for key in keys}
        for queued in self._queue.remove(lambda queued: queued.key in owned):
            self._ledger.withdraw(queued.key, queued.task.index)
            indices_by_key[queued.key].append(queued.task.index)
        link.send(_wire.Cancelled([[*key, indices] for key, indices in indices_by_key.items()]))
        if cancel.stop_running:
            self.stop_running(lambda queued: queued.key in owned, REASON_CANCELLED)

    def on_recall(self, link: _entry_link.EntryLink, recall: _wire.Recall) -> None:
        """Return the queued tasks of the sender's shards; always answers with `Results`."""
        owned = self._queue.remove(lambda queued: self._owner_of_task(queued) == link.entry_id)
        self._return_not_started(owned, recall.reason or REASON_RECALLED)
        if not owned:
            link.send(_wire.Results([], self.running, self.queued))

    def return_queued(self, reason: str) -> None:
        """Return all queued tasks to their owners as not started."""
        self._return_not_started(self._queue.remove(lambda _queued: True), reason)

    def stop_running(
        self, predicate: Callable[[_task_queue.QueuedTask], bool], reason: str
    ) -> None:
        """Abort the requests of running tasks that match a predicate; they count as lost."""
        for queued, asyncio_task in list(self._running.values()):
            if predicate(queued):
                self._record_outcome(queued, _runner.Lost(reason), 0)
                asyncio_task.cancel()
        self._start_queued()

    def _refuse(self, link, start: _wire.Start, refused: _ledger.Refused) -> None:
        self._metrics.count_refused_start(refused.reason)
        link.send(
            _wire.StartRefused(
                shard=start.shard,
                epoch=start.epoch,
                buyer=start.buyer,
                job_id=start.job_id,
                indices=refused.indices,
                reason=refused.reason,
                seen_epoch=refused.seen_epoch,
            )
        )

    def _enqueue(self, tasks: list[_task_queue.QueuedTask]) -> None:
        for queued in tasks:
            if self._queue.can_ever_fit(queued.task):
                self._queue.push(queued)
            else:
                self._return_not_started([queued], REASON_TOO_LARGE)

    def _start_queued(self) -> None:
        while self._runner is not None:
            queued = self._queue.pop_runnable()
            if queued is None:
                return
            self._start_task(queued)

    def _start_task(self, queued: _task_queue.QueuedTask) -> None:
        now = _clock.monotonic()
        index = queued.task.index
        if not self._ledger.mark_started(queued.key, index, queued.epoch, now):
            self._queue.release(queued.task)
            self._metrics.count_refused_start("not_in_ledger")
            return
        self._metrics.count_task_starts(1)
        asyncio_task = asyncio.create_task(self._run(self._runner, queued))
        self._running[queued.key, index] = (queued, asyncio_task)
        self._idle.clear()

    async def _run(self, runner: _runner.Runner, queued: _task_queue.QueuedTask) -> None:
        started_at = _clock.monotonic()
        try:
            outcome = await runner.run(queued)
        except Exception as error:
            # The request may have been sent, so the task may have started.
            loguru.logger.opt(exception=error).error("the runner client failed")
            outcome = _runner.Lost(f"internal error: {type(error).__name__}")
        self._record_outcome(queued, outcome, round((_clock.monotonic() - started_at) * 1000, 1))
        if outcome == _UNREACHABLE and runner is self._runner:
            self._on_unreachable()
        self._start_queued()

    def _record_outcome(
        self, queued: _task_queue.QueuedTask, outcome: _runner.Outcome, run_ms: float
    ) -> None:
        index = queued.task.index
        running = self._running.get((queued.key, index))
        if running is None or running[0] is not queued:
            return  # the task was stopped, so its outcome is already recorded
        del self._running[queued.key, index]
        self._queue.release(queued.task)
        if not self._running:
            self._idle.set()
        code, value = _encode_outcome(outcome)
        self._metrics.count_results(_OUTCOME_NAMES[code])
        item = [*queued.key, index, code, value, run_ms]
        if code == _wire.NOT_STARTED:
            self._ledger.withdraw(queued.key, index)
        else:
            now = _clock.monotonic()
            self._ledger.finish(item, now)
            self._result_at_by_shard[queued.shard] = now
        self._send_to_owner(queued.shard, item)

    def _send_to_owner(self, shard: int, item: list) -> None:
        """Send a result item to the owner of the shard if it is connected.

        An owner that reconnects sends a `Fence`. Until then the ledger keeps results for it,
        and tasks that did not start are not reported: the owner could have sent such a task
        to this agent again, and a late report would make it start the task elsewhere too.
        """
        link = self._find_link(self._ledger.owner_of(shard))
        if link is not None:
            link.send(item)

    def _drop_stale_tasks(self, shard: int) -> None:
        # The ledger has already dropped these tasks. Their owner learns of it from the fence
        # report, or sends them again at the higher epoch.
        epoch = self._ledger.epoch_of(shard)
        self._queue.remove(lambda queued: queued.shard == shard and queued.epoch < epoch)

    def _return_not_started(self, removed: list[_task_queue.QueuedTask], reason: str) -> None:
        for queued in removed:
            self._ledger.withdraw(queued.key, queued.task.index)
            self._metrics.count_results(_OUTCOME_NAMES[_wire.NOT_STARTED])
            item = [*queued.key, queued.task.index, _wire.NOT_STARTED, reason, 0]
            self._send_to_owner(queued.shard, item)

    def _send_items(self, link: _entry_link.EntryLink, items: list[list]) -> None:
        for item in items:
            link.send(item)

    def _owner_of_task(self, queued: _task_queue.QueuedTask) -> str:
        return self._ledger.owner_of(queued.shard)

    def _owner_of_job(self, key: _work.JobKey) -> str:
        shard = self._ledger.shard_of(key)
        return "" if shard is None else self._ledger.owner_of(shard)


def _encode_outcome(outcome: _runner.Outcome) -> tuple[int, object]:
    match outcome:
        case _runner.Done(value=value):
            return _wire.DONE, value
        case _runner.Failed(error=error):
            return _wire.FAILED, error
        case _runner.NotStarted(reason=reason):
            return _wire.NOT_STARTED, reason
        case _runner.Lost(reason=reason):
            return _wire.LOST, reason
    raise TypeError(f"expected an outcome, found {type(outcome).__name__}")
