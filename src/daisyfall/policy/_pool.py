"""What the scheduler keeps for one pool: runners, queue, and what shortage and shares need."""

import copy

import attrs

from daisyfall.policy import _fair_shares, _job_queue, _pool_runners, _shortage

# Fraction of a pool's runners that may be ejected at the same time.
MAX_EJECTED_FRACTION = 1 / 3


@attrs.define(eq=False)
class Pool:
    """The parts of one pool; `shortage` refers to its runners and its queue."""

    runners: _pool_runners.PoolRunners
    queue: _job_queue.JobQueue
    shortage: _shortage.Shortage
    shares: _fair_shares.FairShares

    def may_eject(self) -> bool:
        """Return whether one more runner may be ejected.

        Failures on most runners at once indicate a fault of the tasks, not of the runners.
        """
        return self.runners.ejected < max(1, int(len(self.runners) * MAX_EJECTED_FRACTION))

    def copy(self) -> "Pool":
        """Return a copy, with an empty queue, on which a decision can be tried."""
        runners, queue = self.runners.copy(), _job_queue.JobQueue()
        return Pool(runners, queue, self.shortage.copy(runners, queue), copy.deepcopy(self.shares))


def new_pool(remote_factor: float) -> Pool:
    """Return a pool without runners; `remote_factor` is that of the scheduler."""
    runners, queue = _pool_runners.PoolRunners(remote_factor), _job_queue.JobQueue()
    shortage = _shortage.Shortage(runners, queue)
    return Pool(runners, queue, shortage, _fair_shares.FairShares())
