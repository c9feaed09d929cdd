"""The routes of one configuration version, which map requests to pools."""

import attrs


@attrs.frozen
class Route:
    """A queue of jobs: maps a host and path prefix to a pool, with the policy for the jobs.

    A job should start within `target_latency_ms`, plus `stretch` - 1 times the duration of its
    critical path. `needs_advice` marks a route whose policy restricts the runners.
    """

    name: str
    host: str
    prefix: str
    pool: str
    priority: int
    max_attempts: int
    stretch: float
    target_latency_ms: float
    timeout_ms: float
    needs_advice: bool = False


@attrs.frozen
class Configuration:
    """All routes of one version; request bodies are limited to `body_limit_bytes`."""

    version: int
    routes: tuple[Route, ...]
    body_limit_bytes: int
    _routes_by_host: dict[str, list[Route]] = attrs.field(init=False, eq=False, repr=False)

    def __attrs_post_init__(self) -> None:
        """Index the routes by host, longest prefix first."""
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))
        object.__setattr__(self, "_routes_by_host", by_host)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix that matches `path`, else None."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
