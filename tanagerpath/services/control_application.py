"""Application of the control process of gang jobs."""

import functools
import random

from tanagerpath.codecs.state import JsonStateCodec
from tanagerpath.core.consensus import RestoredState
from tanagerpath.core.control import ControlNode, ReplicatedNode
from tanagerpath.runtime import Clock, Mailbox
from tanagerpath.services.control import ControlTask
from tanagerpath.services.control_config import make_node_config, make_scheduler
from tanagerpath.services.job_protocol import JOB_PROTOCOL
from tanagerpath.services.peers import PeerSet
from tanagerpath.services.replica_application import ReplicaApplication
from tanagerpath.services.replica_task import ReplicaTask
from tanagerpath.settings import ControlSettings

__all__ = ["ControlApplication"]


class ControlApplication(ReplicaApplication):
    """All tasks of a control process.

    Parameters
    ----------
    settings : ControlSettings
        Settings of the process.
    clock : Clock, optional
        Source of the current time.
    """

    def __init__(self, settings: ControlSettings, clock: Clock | None = None) -> None:
        super().__init__(
            settings.listen,
            settings.data_dir,
            settings.availability_zone,
            settings.drain_timeout_s,
            JOB_PROTOCOL,
            clock,
        )
        self._settings = settings

    @classmethod
    def from_settings(cls, settings: ControlSettings) -> "ControlApplication":
        """Build the application of a process."""
        return cls(settings)

    def _make_node(
        self, restored: RestoredState, source: random.Random
    ) -> ReplicatedNode:
        return ControlNode.from_config(
            make_node_config(self._settings),
            restored,
            source,
            JsonStateCodec(),
            functools.partial(make_scheduler, self._settings),
        )

    def _make_task(
        self, node: ReplicatedNode, storage: Mailbox, peers: PeerSet
    ) -> ReplicaTask:
        return ControlTask(
            node,
            self._mailbox,
            storage,
            peers,
            self._settings.upstream_connections,
            self._settings.exchange_timeout_s,
            self._clock,
        )
