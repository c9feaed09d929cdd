"""Steps for the task queue of an agent."""

from behave import given, then, when

from daisyfall.request import _task_queue, _work


def start_runnable(queue):
    started = []
    while (queued := queue.pop_runnable()) is not None:
        started.append(queued.task)
    return started


@given(
    "an agent queue with {slots:d} slots, {connections:d} connections, {memory:d} MB "
    "and {accelerators:d} accelerators"
)
def make_queue(context, slots, connections, memory, accelerators):
    capacity = _task_queue.Capacity(slots, connections, memory, accelerators)
    context.queue = _task_queue.TaskQueue(capacity)


@when("tasks that need {needs} MB and {accelerators:d} accelerators each enter the agent queue")
def fill_queue(context, needs, accelerators):
    for index, memory in enumerate(needs.split(",")):
        task = _work.Task(index, "mix", None, 50, int(memory), accelerators)
        context.queue.push(_task_queue.QueuedTask(("roca", "job"), 3, 1, task))


@then("the agent queue starts the first {count:d} of them")
def check_running(context, count):
    context.started = start_runnable(context.queue)
    assert [task.index for task in context.started] == list(range(count)), context.started


@then("the agent queue starts the next one when one has ended")
def check_next_started(context):
    context.queue.release(context.started[0])
    started = [task.index for task in start_runnable(context.queue)]
    assert started[0] == len(context.started), started
