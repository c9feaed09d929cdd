"""`daisyfall-standin`: run a stand-in of an external system until SIGTERM."""

import attrs
import fire
import uvloop

from daisyfall_standins import _server, objects, runner, table


def run_table(
    port: int = 7100,
    host: str = "127.0.0.1",
    write_ms: float = 4.0,
    writes_per_second: float = 400.0,
    reads_per_second: float = 2000.0,
) -> None:
    """Run the transactional table; a write takes `write_ms`, requests beyond the rates wait."""
    settings = table.Settings(write_ms, writes_per_second, reads_per_second)
    uvloop.run(_server.serve([_server.Server(table.Table(settings), host, port)]))


def run_objects(port: int = 7101, host: str = "127.0.0.1", write_ms: float = 4.0) -> None:
    """Run the object store; a write takes `write_ms`."""
    settings = objects.Settings(write_ms)
    uvloop.run(_server.serve([_server.Server(objects.InMemoryObjectStore(settings), host, port)]))


def run_runners(
    *,
    agents="",
    ports=0,
    ids="",
    journals="",
    labels="",
    host: str = "127.0.0.1",
    slots: int = 8,
    connections: int = 64,
    memory_mb: int = 65536,
    accelerators: int = 0,
    link_delay_ms: float = 0.0,
) -> None:
    """Run one runner for each port.

    `agents` (URLs), `ports`, `ids` and `journals` (files that record the starts) are
    comma-separated lists with one item for each runner.
    """
    common_settings = runner.Settings(
        slots=slots,
        connections=connections,
        memory_mb=memory_mb,
        accelerators=accelerators,
        labels=split_list(labels),
        link_delay_ms=link_delay_ms,
    )
    values_by_option = {
        "id": split_list(ids),
        "agent_url": split_list(agents),
        "journal": split_list(journals),
    }
    uvloop.run(_serve_runners(common_settings, host, split_list(ports), values_by_option))


async def _serve_runners(
    common_settings: runner.Settings,
    host: str,
    ports: list[str],
    values_by_option: dict[str, list[str]],
) -> None:
    servers = []
    for index, port in enumerate(ports):
        overrides = {name: values[index] for name, values in values_by_option.items() if values}
        settings = attrs.evolve(
            common_settings, **{"id": f"runner-{port}", "seed": index} | overrides
        )
        servers.append(runner.RunnerServer(runner.Runner(settings), host, int(port)))
    await _server.serve(servers)


def split_list(value) -> list[str]:
    """Return the items of a list argument; fire passes a string, number, tuple or list."""
    items = value if isinstance(value, tuple | list) else str(value).split(",")
    return [str(item) for item in items if str(item)]


def main() -> None:
    """Run the command line."""
    fire.Fire({"table": run_table, "objects": run_objects, "runner": run_runners})


if __name__ == "__main__":
    main()
