"""Random operations on a dispatcher, checked against a simple model of its tasks."""

import collections

import attrs
import dispatch_harness
import hypothesis
from behave import then
from hypothesis import strategies

from daisyfall import _wire
from daisyfall.request import _work

RATE = 10.0
LIMITS = {
    "ana": {"tasks_in_flight": 9, "slots": 6, "accelerators": 2, "starts_per_second": RATE},
    "bela": {"tasks_in_flight": 40, "slots": 3, "accelerators": 4, "starts_per_second": RATE},
    "caro": {"data_centres": ["quito"], "priority": 5, "starts_per_second": RATE},
}
NEEDS = [{}, {}, {"memory_mb": 700}, {"accelerators": 1}, {"memory_mb": 300, "accelerators": 2}]
OPERATIONS = ["admit", "admit", "done", "done", "fail", "refuse", "wait", "wait", "remove", "load"]
OPERATIONS += ["agent_gone", "agent_back", "limits", "unusable"]
AGENTS = {"a0": "quito", "a1": "quito", "a2": "cayambe"}
STEPS = strategies.lists(
    strategies.tuples(strategies.sampled_from(OPERATIONS), strategies.integers(0, 2**20)),
    min_size=30,
    max_size=120,
)  # the operation, and a number from which its parameters are derived


class History(dispatch_harness.DispatcherHarness):
    """A harness that checks the limits and the model each time it sends tasks."""

    def __init__(self, **settings):
        super().__init__(**settings)
        for buyer, limits in LIMITS.items():
            self.set_plan(buyer, **limits)
        for agent_id in AGENTS:
            self.add_agent(agent_id)
        self.started_at = self.now
        self.may_start = collections.Counter()  # by key and index
        self.starts = collections.Counter()  # by buyer
        self.jobs = 0

    def add_agent(self, agent_id, usable=True):
        place = {"data_centre": AGENTS[agent_id], "rack": agent_id, "usable": usable}
        self.add_upstream(agent_id, slots=4, memory_mb=1000, accelerators=2, **place)

    def send(self):
        """Send the tasks that are due; check each start and the limits."""
        before = self.resource_usage()
        count_before = len(self.unreported)
        super().send()
        for agent_id, key, task in self.unreported[count_before:]:
            assert self.may_start[key, task.index] == 1, f"{key} task {task.index} started twice"
            self.may_start[key, task.index] -= 1
            self.starts[key[0]] += 1
            assert self.upstream_by_id[agent_id].usable, f"start at {agent_id}, which is unusable"
        after = self.resource_usage()
        for (buyer, name), used in after.items():
            limit = getattr(self.plans[buyer], name)
            assert used <= max(limit, before[buyer, name]), f"{buyer}: {used} {name} of {limit}"
        for buyer, count in self.starts.items():
            most = RATE * (1.0 + self.now - self.started_at)
            assert count <= most, f"{buyer}: {count} starts, the rate allows {most}"
        self.check_upstreams()

    def resource_usage(self):
        """Return the tasks in flight, slots and accelerators of each buyer, counted anew."""
        usage = collections.Counter()
        at_agent = collections.Counter()
        for agent_id, key, task in self.unreported:
            at_agent[key[0], agent_id] += 1
            usage[key[0], "tasks_in_flight"] += 1
            usage[key[0], "accelerators"] += task.accelerators
        for (buyer, _), count in at_agent.items():
            usage[buyer, "slots"] += min(count, 4)
        return usage

    def check_upstreams(self):
        for agent_id in AGENTS:
            tasks_at_agent = [task for agent, _, task in self.unreported if agent == agent_id]
            assert sum(task.memory_mb for task in tasks_at_agent) <= 1000, f"memory of {agent_id}"
            assert sum(task.accelerators for task in tasks_at_agent) <= 2, (
                f"accelerators of {agent_id}"
            )

    def step(self, operation, number):
        """Apply one operation and send the tasks that are due."""
        match operation:
            case "admit":
                self.admit_some(number)
            case "done" | "fail" if self.unreported:
                outcome = [_wire.DONE, _wire.FAILED][operation == "fail"]
                self.report(self.unreported[number % len(self.unreported)], outcome, number % 300)
            case "refuse" if self.unreported:
                self.refuse(self.unreported[number % len(self.unreported)], number)
            case "wait":
                self.now += number % 1000 / 2000.0
                for key in self.dispatcher.pop_expired(self.now):
                    self.remove(key)
            case "remove" if self.may_start:
                self.remove(sorted(self.may_start)[number % len(self.may_start)][0])
            case "load":
                self.dispatcher.update_load("a0", number % 9, number % 5, self.now)
            case "agent_gone":
                self.lose(f"a{number % 3}")
            case "agent_back" | "unusable":
                self.add_agent(f"a{number % 3}", operation == "agent_back")
            case "limits":
                self.set_plan("ana", slots=number % 8, tasks_in_flight=number % 12)
        self.send()

    def admit_some(self, number):
        buyer = sorted(LIMITS)[number % 3]
        self.jobs += 1
        new = [
            _work.Task(index, f"k{index % 2}", None, number % 500, **NEEDS[(number + index) % 5])
            for index in range(1 + number % 30)
        ]
        key = (buyer, f"j{self.jobs}")
        self.may_start.update((key, task.index) for task in new)
        self.admit(key[1], buyer, new, deadline_ms=200 + number % 3000)
        if self.error:
            for task in new:
                del self.may_start[key, task.index]

    def refuse(self, item, number):
        _, key, task = item
        self.unreported.remove(item)
        reason = ["connect", "recalled"][number % 2]
        if self.dispatcher.not_started(key, task.index, reason, self.now):
            self.may_start[key, task.index] += 1

    def remove(self, key):
        unsent, sent = self.dispatcher.remove_job(key)
        in_flight = sorted((agent, task.index) for agent, k, task in self.unreported if k == key)
        listed = sorted((agent, index) for agent, all_ in sent.items() for index in all_)
        assert listed == in_flight, f"{key}: in flight {in_flight}, listed {listed}"
        lost = {i for (k, i), left in self.may_start.items() if k == key and left} - set(unsent)
        assert not lost, f"{key}: {lost} never started and are not listed"
        for index in unsent:
            self.may_start[key, index] = 0

    def lose(self, agent_id):
        lost = sorted(self.dispatcher.remove_upstream(agent_id))
        tasks_at_agent = sorted(
            (key, task.index) for agent, key, task in self.unreported if agent == agent_id
        )
        assert lost == tasks_at_agent, f"lost {lost} with {agent_id}, expected {tasks_at_agent}"
        self.unreported = [item for item in self.unreported if item[0] != agent_id]
        self.upstream_by_id[agent_id] = attrs.evolve(self.upstream_by_id[agent_id], usable=False)

    def finish(self):
        """Remove all jobs, report all tasks and return the final snapshot."""
        for key in {key for key, _ in self.may_start}:
            self.remove(key)
        for item in list(self.unreported):
            self.report(item)
        return self.dispatcher.snapshot()


@then(
    "the dispatcher's counters and limits hold in {count:d} random histories"
    " with the policy {policy:w} and the order {order:w}"
)
def check_histories(context, count, policy, order):
    # The shrink phase can take minutes; without it, a failure shows the unreduced history.
    phases = [hypothesis.Phase.generate]

    @hypothesis.settings(
        max_examples=count, derandomize=True, database=None, deadline=None, phases=phases
    )
    @hypothesis.given(steps=STEPS)
    def check(steps):
        history = History(policy=policy, job_order=order)
        for operation, number in steps:
            history.step(operation, number)
        left = history.finish()
        counts = {name: left[name] for name in ("jobs", "queued", "in_flight")}
        assert not any(counts.values()), f"counters above zero at the end: {counts}"
        assert not left["use_by_buyer"], left["use_by_buyer"]

    check()
