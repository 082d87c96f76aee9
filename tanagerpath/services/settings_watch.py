"""Task that reloads changed settings while a process runs."""

from collections.abc import Callable
from typing import Any

import anyio
from returns.pipeline import is_successful

from tanagerpath.runtime import Task
from tanagerpath.services.adapters import SettingsSource

__all__ = ["SettingsWatch"]

# Settings may change without a signal; a poll is cheap, as it only stats a file.
POLL_INTERVAL_S = 2.0


class SettingsWatch(Task):
    """Reloads the settings when they change; invalid ones are ignored.

    Parameters
    ----------
    source : SettingsSource
        Reads the settings.
    replace_seeds : callable
        Receives the addresses of the control processes to ask first.
    logger : structlog logger
        Logs each reload.
    """

    def __init__(
        self,
        source: SettingsSource,
        replace_seeds: Callable[[tuple[str, ...]], None],
        logger: Any,
    ) -> None:
        self._source = source
        self._replace_seeds = replace_seeds
        self._log = logger
        self._change_token = source.read_change_token()

    async def run(self) -> None:
        """Poll for changes until cancelled."""
        while True:
            await anyio.sleep(POLL_INTERVAL_S)
            if self._source.read_change_token() != self._change_token:
                self.reload("the settings changed")

    def reload(self, cause: str) -> None:
        """Reload the settings; keep the previous ones if the new ones are invalid."""
        self._change_token = self._source.read_change_token()
        seeds = self._source.read_seeds()
        if not is_successful(seeds):
            reason = seeds.failure().message
            self._log.error("settings kept", cause=cause, reason=reason)
            return
        self._replace_seeds(seeds.unwrap())
        self._log.info("settings reloaded", cause=cause, seeds=list(seeds.unwrap()))
