"""Routes and pools of one configuration version."""

import attrs


@attrs.frozen
class Route:
    """One queue of jobs; times in milliseconds, `stretch` scales the longest chain of work.

    `needs_advice` marks a queue whose policy allows only some runners.
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
    """All routes of one version; `body_limit_bytes` bounds a request's body."""

    version: int
    routes: tuple[Route, ...]
    body_limit_bytes: int
    _routes_by_host: dict[str, list[Route]] = attrs.field(init=False, eq=False, repr=False)

    def __attrs_post_init__(self) -> None:
        """Sort the routes of each host, longest prefix first."""
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda each: -len(each.prefix))
        object.__setattr__(self, "_routes_by_host", by_host)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path` at a host, None if none matches."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
