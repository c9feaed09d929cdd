"""Order of the runners of one pool by speed class and free CPU."""

from collections.abc import Iterator

import sortedcontainers

# Keys of a runner in the order: its speed class, minus the free share of its CPU, free CPU, id.
Keys = tuple[int, float, int, str]


class RunnerOrder:
    """Runners by speed class, those with the largest free share of their CPU first."""

    def __init__(self) -> None:
        # For each class, (minus free share, id) of its runners; classes are never empty.
        self.order_by_class: dict[int, sortedcontainers.SortedList] = {}
        self.classes = sortedcontainers.SortedList()
        self._by_free_cpu = sortedcontainers.SortedList()

    @property
    def max_free_cpu(self) -> int:
        """Return the most CPU that a runner has free, -1 without runners."""
        return self._by_free_cpu[-1][0] if self._by_free_cpu else -1

    def by_falling_free_cpu(self) -> Iterator[tuple[int, str]]:
        """Yield the free CPU and the id of all runners, the largest free CPU first."""
        return reversed(self._by_free_cpu)

    def add(self, keys: Keys) -> None:
        """Add a runner."""
        speed_class, free, free_cpu, runner_id = keys
        order = self.order_by_class.get(speed_class)
        if order is None:
            order = self.order_by_class[speed_class] = sortedcontainers.SortedList()
            self.classes.add(speed_class)
        order.add((free, runner_id))
        self._by_free_cpu.add((free_cpu, runner_id))

    def remove(self, keys: Keys) -> None:
        """Remove a runner by the keys with which it was added."""
        speed_class, free, free_cpu, runner_id = keys
        order = self.order_by_class[speed_class]
        order.remove((free, runner_id))
        if not order:
            del self.order_by_class[speed_class]
            self.classes.remove(speed_class)
        self._by_free_cpu.remove((free_cpu, runner_id))
