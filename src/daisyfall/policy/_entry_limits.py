"""Limits of an entry: which jobs it answers at once instead of holding their callers for nothing.

They answer two kinds of load: a burst at one entry that is more than its processor or its link
can handle, and a way to the scheduling entry that is slow, choked or being handed over. A caller
whose job is held to its deadline can't try elsewhere, so a job is answered as soon as it is
known that waiting on can't help it. At ordinary load none of the limits is reached.
"""

import collections
import math
import statistics

from daisyfall.policy import _retry_slots

# Fewer jobs that wait for their first start are no sign of overload, whatever the rate is.
MIN_WAITING_JOBS = 32
# The rate is measured over intervals of this length in which jobs waited all the time.
RATE_INTERVAL_S = 0.1
# A rate counts once it was measured for this time: the first intervals after a loss of all
# runners show how fast these return, not what the entry can do.
MIN_MEASURED_INTERVALS = 5
# Measured rates and reply times count for this time.
RETENTION_S = 2.0
# Weight of one job in the average of the time that jobs may wait for their first start.
SLACK_WEIGHT = 0.05
# Allowed for a reply if none was measured lately: two rounds of the scheduler and the messages.
MIN_REPLY_S = 0.1
MAX_REPLY_SAMPLES = 64
# Run times vary around the expected one. A running task is expected to take at least this
# fraction, so that no run is broken off that may still end in time.
SHORTEST_RUN_FRACTION = 0.25

# Reasons of a refusal.
ENTRY_FULL = "entry_full"
NO_REPLY = "no_reply"
OUT_OF_TIME = "out_of_time"


class AdmissionLimit:
    """How many jobs of an entry may wait for their first start.

    The rate at which jobs leave the waiting state is the capacity of the entry only while enough
    of them wait; otherwise it is the rate of arrivals. So only intervals in which at least
    `MIN_WAITING_JOBS` waited all the time are measured, and without enough of them there is no
    limit. While nobody schedules, the rate is unknown too: `reply_due_at` limits the wait then.
    """

    def __init__(self, now: float):
        self._interval_started_at = now
        self._starts = 0
        self._fewest_waiting = 0
        self._rates: collections.deque[tuple[float, float]] = collections.deque()
        self._slack_s = 0.0
        self._lag_s = 0.0

    def record_arrival(self, slack_s: float) -> None:
        """Add the time in seconds for which an arriving job may wait for its first start."""
        weight = SLACK_WEIGHT if self._slack_s else 1.0
        self._slack_s += weight * (max(slack_s, 0.0) - self._slack_s)

    def record_start(self) -> None:
        """Count a job of which a task is started for the first time."""
        self._starts += 1

    def observe(self, now: float, waiting: int, lag_s: float) -> None:
        """Record the jobs that wait, and by how much the event loop is behind its timers."""
        self._lag_s = max(lag_s, 0.0)
        self._fewest_waiting = min(self._fewest_waiting, waiting)
        elapsed_s = now - self._interval_started_at
        if elapsed_s < RATE_INTERVAL_S:
            return
        if self._fewest_waiting >= MIN_WAITING_JOBS and self._starts:
            self._rates.append((now, self._starts / elapsed_s))
        while self._rates and now - self._rates[0][0] > RETENTION_S:
            self._rates.popleft()
        self._interval_started_at, self._starts, self._fewest_waiting = now, 0, waiting

    def rate(self) -> float:
        """Return the most jobs a second lately, infinite if the entry was not busy for long."""
        if len(self._rates) < MIN_MEASURED_INTERVALS:
            return math.inf
        return max(rate for _, rate in self._rates)

    def max_waiting(self) -> float:
        """Return how many jobs may wait so that the last of them starts within its slack."""
        rate = self.rate()
        if math.isinf(rate):
            return rate
        return max(round(rate * max(self._slack_s - self._lag_s, 0.0)), MIN_WAITING_JOBS)

    def retry_after_s(self, waiting: int, priority: int, slack_s: float, jitter: float) -> float:
        """Return when a job that is refused on arrival should be sent again.

        It returns once the waiting jobs have started, the most urgent one first: by the priority
        of its route and by its slack. `jitter` (0 to 1) spreads the retries.
        """
        relative_slack = min(max(slack_s, 0.0) / self._slack_s, 1.0) if self._slack_s else 0.0
        return spread_s(waiting / self.rate(), priority + relative_slack + jitter)


class ReplyTimes:
    """How long the scheduling entry took lately to reply to requests for placement."""

    def __init__(self) -> None:
        self._samples: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=MAX_REPLY_SAMPLES
        )

    def record(self, reply_s: float, now: float) -> None:
        """Add the time between a request and its reply."""
        self._samples.append((now, reply_s))

    def allowance_s(self, now: float) -> float:
        """Return how long a reply may take that was not delayed by the scheduler's queue."""
        recent = [reply_s for at, reply_s in self._samples if now - at <= RETENTION_S]
        return max(statistics.median(recent), MIN_REPLY_S) if recent else MIN_REPLY_S


def reply_due_at(
    requested_at: float, latest_start: float, late_deadline: float, half_time: float, reply_s: float
) -> float:
    """Return until when the reply to a request for placement may be of use; times in seconds.

    The scheduling entry refuses a job that hasn't started by its latest start. While a pool
    recovers from a loss of its runners it does so by the late deadline, and a later request is
    answered at once. `reply_s` is allowed for the reply itself, but no longer than until
    `half_time`, by which an answer reaches the caller before half of its time has passed.
    """
    late_due_at = max(late_deadline, requested_at) + reply_s
    return max(latest_start + reply_s, late_deadline, min(late_due_at, half_time))


def remaining_run_ms(expected_ms: float, running_for_ms: float) -> float:
    """Return the least time that a running task is expected to run on."""
    return max(SHORTEST_RUN_FRACTION * expected_ms - running_for_ms, 0.0)


def spread_s(due_s: float, spread: float) -> float:
    """Return a retry hint after `due_s`; `spread` (0 or more) moves it back proportionally."""
    shortest, longest = _retry_slots.RETRY_AFTER_S
    return min(max(due_s, shortest) * (1.0 + spread), longest)
