"""Interfaces between platform adapters and the processes that serve workloads."""

import abc
from collections.abc import Callable
from typing import Any

import anyio
from returns.result import Result, Success
from starlette.routing import BaseRoute

from tanagerpath.core.protocol.leadership import NotLeaderReply
from tanagerpath.errors import Failure
from tanagerpath.runtime import Mailbox, Reply
from tanagerpath.runtime.limits import BodyRule
from tanagerpath.services.control_messages import AskLeader
from tanagerpath.services.leader_link import LeaderLink

__all__ = [
    "ControlAdapter",
    "EntryAdapter",
    "LeaderClient",
    "LocalLeaderClient",
    "RemoteLeaderClient",
    "SettingsSource",
]

# A local leader replies within the time of a commit, which is far shorter.
LOCAL_TIMEOUT_S = 1.0


class LeaderClient(abc.ABC):
    """Sends requests to the leader."""

    @abc.abstractmethod
    async def ask(self, request: object, timeout_s: float) -> Result[Any, Failure]:
        """Return the leader's reply.

        Parameters
        ----------
        request : object
            A message of `WorkloadRequest`.
        timeout_s : float
            Seconds until the request times out.

        Returns
        -------
        Result
            The reply, `NoLeader` if the request took no effect, or `OutcomeUncertain`.
        """


class RemoteLeaderClient(LeaderClient):
    """Sends requests over the network.

    Parameters
    ----------
    link : LeaderLink
        Connections to the leader.
    """

    def __init__(self, link: LeaderLink) -> None:
        self._link = link

    async def ask(self, request: object, timeout_s: float) -> Result[Any, Failure]:
        """Return the leader's reply; see `LeaderClient`."""
        return await self._link.call(request, anyio.current_time() + timeout_s)


class LocalLeaderClient(LeaderClient):
    """Asks the node of this process first, then other processes.

    Parameters
    ----------
    mailbox : Mailbox
        Mailbox of the task that owns the node.
    remote : LeaderClient
        Used if this node does not reply as the leader.
    """

    def __init__(self, mailbox: Mailbox, remote: LeaderClient) -> None:
        self._mailbox = mailbox
        self._remote = remote

    async def ask(self, request: object, timeout_s: float) -> Result[Any, Failure]:
        """Return the leader's reply; see `LeaderClient`."""
        started_s = anyio.current_time()
        reply: Reply[Any] = Reply()
        if self._mailbox.post(AskLeader(request, reply)) is None:
            local_timeout_s = min(LOCAL_TIMEOUT_S, timeout_s)
            answer = await reply.receive(started_s + local_timeout_s)
            if answer is not None and not isinstance(answer, NotLeaderReply):
                return Success(answer)
        remaining_s = timeout_s - (anyio.current_time() - started_s)
        return await self._remote.ask(request, remaining_s)


class EntryAdapter(abc.ABC):
    """Translates between callers on a platform and the leader."""

    @abc.abstractmethod
    def list_routes(self, leader: LeaderClient) -> list[BaseRoute]:
        """Return the routes for callers."""

    @abc.abstractmethod
    def list_readiness_routes(self, is_ready: Callable[[], bool]) -> list[BaseRoute]:
        """Return the routes for the platform's load balancer."""


class ControlAdapter(abc.ABC):
    """Translates between operators and upstreams on a platform and the leader."""

    @abc.abstractmethod
    def list_routes(self, leader: LeaderClient) -> list[BaseRoute]:
        """Return the routes for operators and upstreams."""

    @abc.abstractmethod
    def list_body_rules(self) -> tuple[BodyRule, ...]:
        """Return the largest body of each kind of request that has one."""


class SettingsSource(abc.ABC):
    """Source of the settings that may change while a process runs."""

    @abc.abstractmethod
    def read_change_token(self) -> int | None:
        """Return a number that changes with the settings, None without settings."""

    @abc.abstractmethod
    def read_seeds(self) -> Result[tuple[str, ...], Failure]:
        """Return the addresses of the control processes to ask first, or a failure."""
