"""One event loop per scenario, shared by its stand-ins and clients."""

import asyncio


def run(context, coroutine):
    """Run a coroutine in the scenario's loop and return its result."""
    if not hasattr(context, "loop_runner"):
        context.loop_runner = asyncio.Runner()
        context.add_cleanup(context.loop_runner.close)
    return context.loop_runner.run(coroutine)


def at_end(context, function, *arguments):
    """Run the coroutine of `function` at the end of the scenario."""
    context.add_cleanup(lambda: run(context, function(*arguments)))


def start(context, coroutine):
    """Start a stand-in's server, which is stopped at the end of the scenario."""
    server = run(context, coroutine)
    at_end(context, server.stop)
    return server
