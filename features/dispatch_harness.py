"""A test harness for the dispatcher, with virtual time."""

import random

import attrs

from daisyfall import _wire, errors
from daisyfall.process import _settings
from daisyfall.request import _dispatcher, _work
from daisyfall.version import _lists

PLAN = _lists.Allowance(
    starts_per_second=1e6,
    tasks_in_flight=10_000,
    slots=10_000,
    accelerators=8,
    largest_job_tasks=1900,
    longest_deadline_ms=60_000,
)


class DispatcherHarness:
    """Drives a dispatcher in virtual time and records the tasks that it sends."""

    def __init__(self, **settings):
        self.now = 1000.0
        self.jobs = _settings.JobSettings(queue_tasks=settings.pop("queue_tasks", 2500))
        self.settings = _settings.RoutingSettings(**settings)
        rng = random.Random(7)
        self.dispatcher = _dispatcher.Dispatcher(self.settings, self.jobs, "quito", rng)
        self.dispatcher.activated(0, self.now - 10.0)  # the rate buckets are full
        self.plans = {}
        self.upstream_by_id = {}
        self.sent = []  # (agent, key, task)
        self.unreported = []  # sent tasks without a report
        self.error = None

    def set_plan(self, buyer, **limits):
        """Change the limits of a buyer; each buyer has a plan of its own."""
        self.plans[buyer] = attrs.evolve(self.plans.get(buyer, PLAN), **limits)
        buyers = {name: _lists.Buyer(name, name, "", "") for name in self.plans}
        self.dispatcher.use_lists(_lists.Lists(1, "", buyers, dict(self.plans)))

    def add_upstream(self, agent_id, **fields):
        """Add or change an upstream."""
        known = self.upstream_by_id.get(agent_id)
        if known is None:
            known = _dispatcher.Upstream(agent_id, "i1", "quito", memory_mb=65_536, accelerators=2)
        self.upstream_by_id[agent_id] = attrs.evolve(known, **fields)
        self.dispatcher.update_upstream(self.upstream_by_id[agent_id], self.now)

    def admit(self, job, buyer, tasks, deadline_ms=20_000, send=True):
        """Admit a job and send the tasks that are due; a rejection is kept in `error`."""
        if buyer not in self.plans:
            self.set_plan(buyer)
        work = _work.Work(buyer, job, 0, tasks, self.now + deadline_ms / 1000.0)
        self.error = None
        try:
            self.dispatcher.admit(work, self.now)
        except errors.DispatchError as error:
            self.error = error
        if send:
            self.send()

    def send(self):
        """Record the tasks that the dispatcher sends now."""
        for each in self.dispatcher.assign(self.now):
            items = [(each.agent_id, each.work.key, task) for task in each.tasks]
            self.sent += items
            self.unreported += items

    def report(self, item, outcome=_wire.DONE, run_ms=100.0):
        """Report the outcome of a sent task."""
        self.unreported.remove(item)
        self.dispatcher.finished(item[1], item[2].index, outcome, run_ms, self.now)

    def learn(self, kind, run_ms, buyers=("ana", "bela")):
        """Report the run time of one task of the kind for each buyer, then clear `sent`."""
        for buyer in buyers:
            self.admit(f"learn-{kind}", buyer, tasks(1, kind))
            self.report(self.unreported[-1], run_ms=run_ms)
        self.sent.clear()


def tasks(count, kind="label", run_ms=100, **needs):
    """Return `count` equal tasks."""
    return [_work.Task(index, kind, None, run_ms, **needs) for index in range(count)]
