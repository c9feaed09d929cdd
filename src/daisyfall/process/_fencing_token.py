"""Fencing token of an agent's calls to its runner."""

import loguru

# Added to a token that the runner rejects as too low; tokens are start times of agents.
TOKEN_INCREMENT_MS = 60_000


class Token:
    """The present token, which is raised when the runner has seen a higher one."""

    def __init__(self, value: int) -> None:
        self.value = value

    def increase(self) -> None:
        """Use a higher token from now on, as the runner has rejected the present one."""
        self.value += TOKEN_INCREMENT_MS
        loguru.logger.bind(token=self.value).warning("fencing token was too low")
