"""Tasks that crash the runners on which they run.

A crash ends all tasks on the runner, and only one of them caused it. Each is suspected until
another crash shows which one they have in common, so that the others are not given up for it.
"""

import attrs
import sortedcontainers

# A task is given up after this many crashes that no other task explains.
MAX_UNEXPLAINED_CRASHES = 2
# Or after this many if one of its runs had passed more than EARLY_SHARE of its expected time, as
# a long task may share two crashes of a series by chance.
MAX_UNEXPLAINED_LATE_CRASHES = 3
EARLY_SHARE = 0.5
# And after this many in all, as the wrong task may have been given up for the earlier ones.
MAX_CRASHES = 4
# Longer than a caller may take to send a job again.
RETENTION_S = 120.0
# Bounds memory and the time for weighing all crashes again.
MAX_REMEMBERED_CRASHES = 500


@attrs.frozen
class CrashedRun:
    """A run on a runner that crashed, `run_ms` after its start; `expected_ms` is 0 if unknown."""

    task: str
    route: str
    run_ms: float
    expected_ms: float = 0.0

    @property
    def is_early(self) -> bool:
        """Return whether most of the run was still to come."""
        return not self.expected_ms or self.run_ms <= EARLY_SHARE * self.expected_ms


@attrs.frozen
class Crash:
    """A crash of one incarnation of a runner, which `id` names, with all runs there."""

    id: str
    runs: tuple[CrashedRun, ...]


class RunnerCrashes:
    """The last crashes of all runners, and the tasks that are given up for them.

    The result depends on the order of the crashes, so one that is reported late is put in its place
    and all are weighed again before the next answer.
    """

    def __init__(self) -> None:
        # Pairs of time and crash.
        self._crashes = sortedcontainers.SortedKeyList(key=lambda dated: dated[0])
        self._crash_ids: set[str] = set()
        self._is_out_of_order = False
        self._clear_causes()

    def __len__(self) -> int:
        return len(self._crashes)

    def is_given_up(self, task: str) -> bool:
        """Return whether a task may not be started again."""
        self._restore_order()
        return task in self._given_up

    def record(self, crash: Crash, crashed_at: float) -> list[CrashedRun]:
        """Record a crash once, at a time in seconds; return the runs of tasks now given up.

        The list is empty for a crash that is older than the last one; ask `is_given_up` then.
        """
        if crash.id in self._crash_ids:
            return []
        self._forget_old(crashed_at)
        is_late = bool(self._crashes) and crashed_at < self._crashes[-1][0]
        self._crash_ids.add(crash.id)
        self._crashes.add((crashed_at, crash))
        if is_late:
            self._is_out_of_order = True
            return []
        if self._is_out_of_order:
            self._restore_order()
            return [run for run in crash.runs if run.task in self._given_up]
        return self._weigh(crash)

    def _restore_order(self) -> None:
        if self._is_out_of_order:
            self._is_out_of_order = False
            self._clear_causes()
            for _, crash in self._crashes:
                self._weigh(crash)

    def _clear_causes(self) -> None:
        self._run_by_crash_by_task: dict[str, dict[str, CrashedRun]] = {}
        self._explained_crash_ids: set[str] = set()
        self._given_up: set[str] = set()

    def _weigh(self, crash: Crash) -> list[CrashedRun]:
        """Add a crash that is the last so far; return the runs of the tasks given up for it."""
        for run in crash.runs:
            self._run_by_crash_by_task.setdefault(run.task, {})[crash.id] = run
            if run.task in self._given_up:
                self._explained_crash_ids.add(crash.id)
        given_up = []
        # The task that has never run for long comes first, since another one that shared the
        # crashes has outlived, on one of the runners, the time at which that one crashed them.
        for run in sorted(crash.runs, key=lambda each: self._longest_run_ms(each.task)):
            if run.task not in self._given_up and self._is_cause(run.task):
                self._given_up.add(run.task)
                self._explained_crash_ids.update(self._run_by_crash_by_task[run.task])
                given_up.append(run)
        return given_up

    def _is_cause(self, task: str) -> bool:
        run_by_crash = self._run_by_crash_by_task[task]
        unexplained = run_by_crash.keys() - self._explained_crash_ids
        are_early = all(run_by_crash[crash_id].is_early for crash_id in unexplained)
        limit = MAX_UNEXPLAINED_CRASHES if are_early else MAX_UNEXPLAINED_LATE_CRASHES
        return len(unexplained) >= limit or len(run_by_crash) >= MAX_CRASHES

    def _longest_run_ms(self, task: str) -> float:
        return max(run.run_ms for run in self._run_by_crash_by_task[task].values())

    def _forget_old(self, now: float) -> None:
        """Make room for a crash; a task is forgotten with the last crash under it."""
        while self._crashes:
            crashed_at, crash = self._crashes[0]
            is_full = len(self._crashes) >= MAX_REMEMBERED_CRASHES
            if not is_full and now - crashed_at <= RETENTION_S:
                break
            del self._crashes[0]
            self._crash_ids.discard(crash.id)
            self._explained_crash_ids.discard(crash.id)
            for run in crash.runs:
                run_by_crash = self._run_by_crash_by_task.get(run.task, {})
                run_by_crash.pop(crash.id, None)
                if not run_by_crash:
                    self._run_by_crash_by_task.pop(run.task, None)
                    self._given_up.discard(run.task)
