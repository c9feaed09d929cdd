"""Simulated agents: connections that speak the agent protocol, without an agent process.

They report each task as done at once. An entry can thus be measured with more agents than
one machine can run.
"""

import asyncio
import contextlib

import websockets.asyncio.client

from daisyfall import _codec, _ids, _wire
from daisyfall.connection import _handshake

_HEARTBEAT_SECONDS = 1.0


class SimulatedAgent:
    """An agent of 8 slots with a link to one entry; with `never_answers` it reports no results."""

    def __init__(self, number: int, address: str, key: str, *, never_answers: bool = False):
        self._hello = _wire.Hello(
            _wire.ROLE_AGENT,
            f"light-{number}",
            _ids.new_incarnation(),
            _wire.MAX_VERSION,
            b"",
            "quito-1",
            "",
            f"rack-{number // 3}",
        )
        self._address = address
        self._key = key
        self._never_answers = never_answers
        self._listed_event = asyncio.Event()
        self._socket = None
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Connect and wait until the entry has listed the agent."""
        self._socket = await websockets.asyncio.client.connect(
            f"ws://{self._address}",
            compression=None,
            max_size=_codec.MAX_MESSAGE_BYTES,
            ping_interval=None,
            proxy=None,
        )
        await _handshake.connect(self._socket, self._key, self._hello)
        self._tasks = [
            asyncio.create_task(self._send_heartbeats()),
            asyncio.create_task(self._read()),
        ]
        await self._listed_event.wait()
        await self._send_status()

    async def stop(self) -> None:
        """Close the link."""
        for task in self._tasks:
            task.cancel()
        if self._socket is not None:
            await self._socket.close()

    async def _send_heartbeats(self) -> None:
        while True:
            await self._send_status()
            await asyncio.sleep(_HEARTBEAT_SECONDS)

    async def _send_status(self) -> None:
        listed = self._listed_event.is_set()
        status = _wire.AgentStatus(
            8, 0, 0, listed, False, listed, 65_536, 0, [], 0, self._hello.node_id
        )
        await self._socket.send(_codec.encode(status))

    async def _read(self) -> None:
        with contextlib.suppress(websockets.ConnectionClosed):
            async for frame in self._socket:
                await self._handle_message(_codec.decode(frame))

    async def _handle_message(self, message) -> None:
        incarnation = self._hello.incarnation
        match message:
            case _wire.Listed():
                self._listed_event.set()
            case _wire.Fence(epochs=epochs):
                for shard, epoch in epochs.items():
                    report = _wire.FenceReport(shard, epoch, incarnation, [], True)
                    await self._socket.send(_codec.encode(report))
            case _wire.Start() if not self._never_answers:
                items = [
                    [message.buyer, message.job_id, task[0], _wire.DONE, None, 0]
                    for task in message.tasks
                ]
                await self._socket.send(_codec.encode(_wire.Results(items, 0, 0)))


async def start_agents(count: int, address: str, key: str, *, never_answers: bool = False) -> list:
    """Start simulated agents, 8 at a time so that the table keeps up with listing them."""
    agents = [
        SimulatedAgent(number, address, key, never_answers=never_answers) for number in range(count)
    ]
    for first in range(0, count, 8):
        await asyncio.gather(*[agent.start() for agent in agents[first : first + 8]])
    return agents
