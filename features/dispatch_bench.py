"""A dispatcher under test, with virtual time and all that it sent."""

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


class Bench:
    """A dispatcher with its virtual time and all that it sent."""

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
        self.open = []  # those of them without a report
        self.error = None

    def set_plan(self, buyer, **limits):
        """Change a buyer's plan, with one plan for each buyer."""
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
        """Admit a job and send what is due; keep the refusal if there is one."""
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
        """Take what the dispatcher sends now."""
        for each in self.dispatcher.assign(self.now):
            items = [(each.agent_id, each.work.key, task) for task in each.tasks]
            self.sent += items
            self.open += items

    def report(self, item, outcome=_wire.DONE, run_ms=100.0):
        """Report one sent task."""
        self.open.remove(item)
        self.dispatcher.finished(item[1], item[2].index, outcome, run_ms, self.now)

    def learn(self, kind, run_ms, buyers=("ana", "bela")):
        """Teach a kind's run time by one task of each buyer, and forget that it was sent."""
        for buyer in buyers:
            self.admit(f"learn-{kind}", buyer, tasks(1, kind))
            self.report(self.open[-1], run_ms=run_ms)
        self.sent.clear()


def tasks(count, kind="label", run_ms=100, **needs):
    """Return `count` equal tasks."""
    return [_work.Task(index, kind, None, run_ms, **needs) for index in range(count)]
