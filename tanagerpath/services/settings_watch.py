"""Task that takes changed settings while a process runs."""

from collections.abc import Callable
from typing import Any

import anyio
from returns.pipeline import is_successful

from tanagerpath.runtime import Task
from tanagerpath.services.edges import SettingsSource

__all__ = ["SettingsWatch"]

# Settings may change without a signal; a look at a file costs next to nothing.
WATCH_INTERVAL_S = 2.0


class SettingsWatch(Task):
    """Reads the settings again when they change; wrong ones are not taken.

    Parameters
    ----------
    source : SettingsSource
        The settings.
    note_seeds : callable
        Takes the control processes that are asked first.
    logger : structlog logger
        Gets a line for each reload.
    """

    def __init__(
        self,
        source: SettingsSource,
        note_seeds: Callable[[tuple[str, ...]], None],
        logger: Any,
    ) -> None:
        self._source = source
        self._note_seeds = note_seeds
        self._log = logger
        self._stamp = source.read_stamp()

    async def run(self) -> None:
        """Look for changes until cancelled."""
        while True:
            await anyio.sleep(WATCH_INTERVAL_S)
            if self._source.read_stamp() != self._stamp:
                self.reload("the settings changed")

    def reload(self, cause: str) -> None:
        """Take the settings as they are now, or keep the old ones if they are wrong."""
        self._stamp = self._source.read_stamp()
        seeds = self._source.read_seeds()
        if not is_successful(seeds):
            reason = seeds.failure().message
            self._log.error("settings kept", cause=cause, reason=reason)
            return
        self._note_seeds(seeds.unwrap())
        self._log.info("settings reloaded", cause=cause, seeds=list(seeds.unwrap()))
