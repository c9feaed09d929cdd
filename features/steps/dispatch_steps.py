"""Steps on the dispatcher: agents, plans and time are tables and numbers, nothing waits."""

import random

import attrs
import parse
from behave import given, register_type, then, when

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


@parse.with_pattern(r"[\d, ]+")
def read_numbers(text):
    return [int(each) for each in text.split(", ")]


register_type(Numbers=read_numbers)


class Bench:
    """A dispatcher with its virtual time and all that it sent."""

    def __init__(self, **settings):
        self.now = 1000.0
        self.jobs = _settings.JobSettings(queue_tasks=settings.pop("queue_tasks", 100_000))
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
            known = _dispatcher.Upstream(agent_id, "i1", "quito", memory_mb=65_536)
        self.upstream_by_id[agent_id] = attrs.evolve(known, **fields)
        self.dispatcher.update_upstream(self.upstream_by_id[agent_id], self.now)

    def admit(self, job, buyer, tasks, deadline_ms=20_000):
        """Admit a job and send what is due; keep the refusal if there is one."""
        if buyer not in self.plans:
            self.set_plan(buyer)
        work = _work.Work(buyer, job, 0, tasks, self.now + deadline_ms / 1000.0)
        self.error = None
        try:
            self.dispatcher.admit(work, self.now)
        except errors.DispatchError as error:
            self.error = error
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


def tasks(count, kind="label", **fields):
    """Return `count` equal tasks."""
    return [
        _work.Task(index, kind, None, fields.pop("run_ms", 100), **fields) for index in range(count)
    ]


@given("the dispatcher has {count:d} agents with {slots:d} slots")
def make_dispatcher(context, count, slots):
    context.bench = Bench(**getattr(context, "settings", {}))
    for number in range(count):
        context.bench.add_upstream(f"agent{number}", slots=slots, rack=f"rack{number // 3}")


@given('the dispatcher has learnt that kind "{kind}" takes {run_ms:g} ms')
def learn(context, kind, run_ms):
    context.bench.learn(kind, run_ms)


@given('the dispatcher gives "{buyer}" the limit {limit} {value:g}')
def set_limit(context, buyer, limit, value):
    context.bench.set_plan(buyer, **{limit: value if limit == "starts_per_second" else int(value)})


@when('the dispatcher admits a job "{job}" of "{buyer}" with {count:d} tasks')
def admit(context, job, buyer, count):
    context.bench.admit(job, buyer, tasks(count))


@when('the dispatcher admits a job "{job}" of "{buyer}" with tasks of {times:Numbers} ms')
def admit_times(context, job, buyer, times):
    new = [_work.Task(at, f"new{run_ms}", None, run_ms) for at, run_ms in enumerate(times)]
    context.bench.admit(job, buyer, new)


@when("the dispatcher hears that {count:d} tasks are done")
def report_done(context, count):
    for _ in range(count):
        context.bench.report(context.bench.open[0])
        context.bench.send()


@then("the dispatcher has {count:d} tasks in flight, at most {most:d} at each agent")
def check_in_flight(context, count, most):
    agents = [agent for agent, _, _ in context.bench.open]
    assert len(agents) == count, f"{len(agents)} in flight, expected {count}"
    counts = {agent: agents.count(agent) for agent in agents}
    assert max(counts.values()) <= most, f"{counts} in flight, expected at most {most} each"


@then('the dispatcher has sent {count:d} tasks of "{job}"')
def check_sent_of(context, count, job):
    check_about(context, count, job, 0)


@then('the dispatcher has sent {count:d} tasks of "{job}", give or take {slack:d}')
def check_about(context, count, job, slack):
    sent = sum(1 for _, key, _ in context.bench.sent if key[1] == job)
    assert abs(sent - count) <= slack, f"sent {sent} of {job}, expected {count} +- {slack}"


@then("the dispatcher has sent the tasks of {times:Numbers} ms in this order")
def check_order(context, times):
    sent = [task.run_ms for _, _, task in context.bench.sent]
    assert sent == times, f"sent {sent}, expected {times}"
