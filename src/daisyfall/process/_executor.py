"""Acts on the messages that concern tasks: joins ledger, queue, runner and links."""

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
# After a report, time for its entry to fetch results that it lacks.
FETCH_SECONDS = 0.3

_UNREACHABLE = _runner.NotStarted(_runner.REASON_NO_CONNECTION)
_OUTCOME_NAMES = {
    _wire.DONE: "done",
    _wire.FAILED: "failed",
    _wire.NOT_STARTED: "not_started",
    _wire.LOST: "lost",
}


class Executor:
    """Starts tasks and delivers their results.

    `link_of` returns the live link to an entry by its id, and `closed_reason` why
    no work is taken at present (empty if it is). `on_unreachable` is called when
    the runner accepts no connection.
    """

    def __init__(
        self,
        ledger: _ledger.Ledger,
        metrics: _metrics.Metrics,
        link_of: Callable[[str], _entry_link.EntryLink | None],
        closed_reason: Callable[[], str],
        on_unreachable: Callable[[], None],
    ):
        self._ledger = ledger
        self._metrics = metrics
        self._link_of = link_of
        self._closed_reason = closed_reason
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
        """Return the number of tasks at the runner."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Return the number of tasks that wait."""
        return len(self._queue)

    def use(self, runner: _runner.Runner | None, capacity: _task_queue.Capacity) -> None:
        """Start tasks at this runner from now on."""
        self._runner = runner
        self._queue.capacity = capacity
        if runner is not None:
            misfits = self._queue.remove(lambda queued: not self._queue.can_ever_fit(queued.task))
            self._return_all(misfits, REASON_TOO_LARGE)
        self._pump()

    async def wait_idle(self) -> None:
        """Wait until nothing runs."""
        await self._idle.wait()

    def is_delivered(self, recent_seconds: float) -> bool:
        """Tell whether the owner of each recent result has it, or had time to fetch it."""
        now = _clock.monotonic()
        if any(now < at + FETCH_SECONDS for at in self._reconciled_at_by_entry.values()):
            return False
        recent = [
            (shard, at)
            for shard, at in self._result_at_by_shard.items()
            if now < at + recent_seconds
        ]
        return all(self._has_reached_owner(shard, at) for shard, at in recent)

    def _has_reached_owner(self, shard: int, result_at: float) -> bool:
        owner = self._ledger.owner_of(shard)
        link = self._link_of(owner)
        if link is None:
            return False
        reconciled_at = self._reconciled_at_by_entry.get(owner, 0.0)
        return link.opened_at <= max(result_at, reconciled_at)

    def on_start(self, link: _entry_link.EntryLink, start: _wire.Start) -> None:
        """Queue the tasks of a Start, or refuse it."""
        now = _clock.monotonic()
        answer = self._ledger.accept(start, link.entry_id, now, self._closed_reason())
        if answer.epoch_raised:
            self._drop_lower_epochs(start.shard)
        self._send_items(link, answer.repeated)
        match answer:
            case _ledger.Refused():
                self._refuse(link, start, answer)
            case _ledger.Accepted(tasks=tasks):
                self._enqueue(_task_queue.from_start(start, tasks))
                self._pump()

    def on_fence(self, link: _entry_link.EntryLink, fence: _wire.Fence) -> None:
        """Raise epochs and report what the ledger holds of each shard."""
        self._reconciled_at_by_entry[link.entry_id] = _clock.monotonic()
        for shard, epoch in fence.epochs.items():
            seen = self._ledger.epoch_of(shard)
            if epoch < seen:
                link.send(self._ledger.stale_report(shard))
                continue
            if self._ledger.fence(shard, epoch, link.entry_id):
                self._drop_lower_epochs(shard)
            for report in self._ledger.report(shard):
                link.send(report)

    def on_fetch(self, link: _entry_link.EntryLink, fetch: _wire.FetchResults) -> None:
        """Send the finished results of a job again; an unknown job has none."""
        self._reconciled_at_by_entry[link.entry_id] = _clock.monotonic()
        items = self._ledger.results((fetch.buyer, fetch.job_id))
        self._send_items(link, items)
        if not items:
            link.send(_wire.Results([], self.running, self.queued))

    def on_cancel(self, link: _entry_link.EntryLink, cancel: _wire.Cancel) -> None:
        """Drop queued tasks of jobs that the sender owns, and stop running ones if asked to."""
        keys = {(buyer, job_id) for buyer, job_id in cancel.jobs}
        owned = {key for key in keys if self._owner_of(key) == link.entry_id}
        indices_by_key: dict[_work.JobKey, list[int]] = {key: [] for key in keys}
        for queued in self._queue.remove(lambda queued: queued.key in owned):
            self._ledger.withdraw(queued.key, queued.task.index)
            indices_by_key[queued.key].append(queued.task.index)
        link.send(_wire.Cancelled([[*key, found] for key, found in indices_by_key.items()]))
        if cancel.stop_running:
            self.stop_running(lambda queued: queued.key in owned, REASON_CANCELLED)

    def on_recall(self, link: _entry_link.EntryLink, recall: _wire.Recall) -> None:
        """Hand back the queued tasks of the sender's shards; Results follow in any case."""
        owned = self._queue.remove(lambda queued: self._owner(queued) == link.entry_id)
        self._return_all(owned, recall.reason or REASON_RECALLED)
        if not owned:
            link.send(_wire.Results([], self.running, self.queued))

    def hand_back(self, reason: str) -> None:
        """Return everything that is queued as not started."""
        self._return_all(self._queue.remove(lambda _queued: True), reason)

    def stop_running(
        self, condition: Callable[[_task_queue.QueuedTask], bool], reason: str
    ) -> None:
        """Close the requests of running tasks that meet the condition; they count as lost."""
        for queued, running in list(self._running.values()):
            if condition(queued):
                self._settle(queued, _runner.Lost(reason), 0)
                running.cancel()
        self._pump()

    def _refuse(self, link, start: _wire.Start, refused: _ledger.Refused) -> None:
        self._metrics.start_refused(refused.reason)
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
                self._return_all([queued], REASON_TOO_LARGE)

    def _pump(self) -> None:
        while self._runner is not None:
            queued = self._queue.pop_runnable()
            if queued is None:
                return
            self._begin(queued)

    def _begin(self, queued: _task_queue.QueuedTask) -> None:
        now = _clock.monotonic()
        index = queued.task.index
        if not self._ledger.mark_started(queued.key, index, queued.epoch, now):
            self._queue.release(queued.task)
            self._metrics.start_refused("not_in_ledger")
            return
        self._metrics.started(1)
        running = asyncio.create_task(self._run(self._runner, queued))
        self._running[queued.key, index] = (queued, running)
        self._idle.clear()

    async def _run(self, runner: _runner.Runner, queued: _task_queue.QueuedTask) -> None:
        began = _clock.monotonic()
        try:
            outcome = await runner.run(queued)
        except Exception as error:
            # Whether the request was sent is unknown here.
            loguru.logger.opt(exception=error).error("the runner adapter failed")
            outcome = _runner.Lost(f"internal error: {type(error).__name__}")
        self._settle(queued, outcome, round((_clock.monotonic() - began) * 1000, 1))
        if outcome == _UNREACHABLE and runner is self._runner:
            self._on_unreachable()
        self._pump()

    def _settle(
        self, queued: _task_queue.QueuedTask, outcome: _runner.Outcome, run_ms: float
    ) -> None:
        index = queued.task.index
        running = self._running.get((queued.key, index))
        if running is None or running[0] is not queued:
            return  # It was stopped, and its outcome is recorded already.
        del self._running[queued.key, index]
        self._queue.release(queued.task)
        if not self._running:
            self._idle.set()
        code, value = _as_wire(outcome)
        self._metrics.finished(_OUTCOME_NAMES[code])
        item = [*queued.key, index, code, value, run_ms]
        if code == _wire.NOT_STARTED:
            self._ledger.withdraw(queued.key, index)
        else:
            now = _clock.monotonic()
            self._ledger.finish(item, now)
            self._result_at_by_shard[queued.shard] = now
        self._deliver(queued.shard, item)

    def _deliver(self, shard: int, item: list) -> None:
        """Send a result item to the owner of the shard if it has a link.

        Without one the owner fences when it is back: results are kept for it in the
        ledger, and a task that did not start is not reported. A late item of such a
        task would make the owner start it elsewhere after it was accepted here again.
        """
        link = self._link_of(self._ledger.owner_of(shard))
        if link is not None:
            link.send(item)

    def _drop_lower_epochs(self, shard: int) -> None:
        # The ledger forgot these already; the fence report or a later start refers to them.
        epoch = self._ledger.epoch_of(shard)
        self._queue.remove(lambda queued: queued.shard == shard and queued.epoch < epoch)

    def _return_all(self, removed: list[_task_queue.QueuedTask], reason: str) -> None:
        for queued in removed:
            self._ledger.withdraw(queued.key, queued.task.index)
            self._metrics.finished(_OUTCOME_NAMES[_wire.NOT_STARTED])
            item = [*queued.key, queued.task.index, _wire.NOT_STARTED, reason, 0]
            self._deliver(queued.shard, item)

    def _send_items(self, link: _entry_link.EntryLink, items: list[list]) -> None:
        for item in items:
            link.send(item)

    def _owner(self, queued: _task_queue.QueuedTask) -> str:
        return self._ledger.owner_of(queued.shard)

    def _owner_of(self, key: _work.JobKey) -> str:
        shard = self._ledger.shard_of(key)
        return "" if shard is None else self._ledger.owner_of(shard)


def _as_wire(outcome: _runner.Outcome) -> tuple[int, object]:
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
