"""What an adapter to a platform provides to the processes that serve workloads."""

import abc
from collections.abc import Callable
from typing import Any

import anyio
from returns.result import Result, Success
from starlette.routing import BaseRoute

from tanagerpath.core.protocol.internal import NotLeaderReply
from tanagerpath.errors import Failure
from tanagerpath.runtime import Mailbox, Reply
from tanagerpath.services.control_messages import AskLeader
from tanagerpath.services.leader_link import LeaderLink

__all__ = [
    "ControlEdge",
    "EntryEdge",
    "LeaderAsker",
    "LocalLeader",
    "RemoteLeader",
    "SettingsSource",
]

# A process that leads answers itself within a commit, far below this.
LOCAL_PATIENCE_S = 1.0


class LeaderAsker(abc.ABC):
    """Asks the leader, wherever it is."""

    @abc.abstractmethod
    async def ask(self, request: object, timeout_s: float) -> Result[Any, Failure]:
        """Return the leader's reply.

        Parameters
        ----------
        request : object
            A message of `WorkloadRequest`.
        timeout_s : float
            Seconds until the request is given up.

        Returns
        -------
        Result
            The reply, `NoLeader` if the request took no effect, or `OutcomeUncertain`.
        """


class RemoteLeader(LeaderAsker):
    """Asks over the network.

    Parameters
    ----------
    link : LeaderLink
        Finds the leader.
    """

    def __init__(self, link: LeaderLink) -> None:
        self._link = link

    async def ask(self, request: object, timeout_s: float) -> Result[Any, Failure]:
        """Return the leader's reply; see `LeaderAsker`."""
        return await self._link.call(request, anyio.current_time() + timeout_s)


class LocalLeader(LeaderAsker):
    """Asks the node of this process first.

    Parameters
    ----------
    mailbox : Mailbox
        Mailbox of the task that owns the node.
    remote : LeaderAsker
        Asks the leader if it is another process.
    """

    def __init__(self, mailbox: Mailbox, remote: LeaderAsker) -> None:
        self._mailbox = mailbox
        self._remote = remote

    async def ask(self, request: object, timeout_s: float) -> Result[Any, Failure]:
        """Return the leader's reply; see `LeaderAsker`."""
        started_s = anyio.current_time()
        reply: Reply[Any] = Reply()
        if self._mailbox.post(AskLeader(request, reply)) is None:
            patience_s = min(LOCAL_PATIENCE_S, timeout_s)
            answer = await reply.receive(started_s + patience_s)
            if answer is not None and not isinstance(answer, NotLeaderReply):
                return Success(answer)
        left_s = timeout_s - (anyio.current_time() - started_s)
        return await self._remote.ask(request, left_s)


class EntryEdge(abc.ABC):
    """Translates between callers of a platform and the leader."""

    @abc.abstractmethod
    def list_routes(self, leader: LeaderAsker) -> list[BaseRoute]:
        """Return the routes of callers."""

    @abc.abstractmethod
    def list_readiness_routes(self, is_ready: Callable[[], bool]) -> list[BaseRoute]:
        """Return the routes that the platform's balancer asks."""


class ControlEdge(abc.ABC):
    """Translates between operators and upstreams of a platform and the leader."""

    @abc.abstractmethod
    def list_routes(self, leader: LeaderAsker) -> list[BaseRoute]:
        """Return the routes of operators and announcing upstreams."""


class SettingsSource(abc.ABC):
    """Where the settings come from that may change while a process runs."""

    @abc.abstractmethod
    def read_stamp(self) -> int | None:
        """Return a number that changes with the settings, None if there are none."""

    @abc.abstractmethod
    def read_seeds(self) -> Result[tuple[str, ...], Failure]:
        """Return the control processes that are asked first, or what is wrong."""
