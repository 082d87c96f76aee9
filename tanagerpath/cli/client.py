"""Client of several entries that retries a failed exchange on the next one."""

from collections.abc import Callable
from typing import Any, TypeVar

import anyio
import attrs
from returns.pipeline import is_successful
from returns.result import Failure as ResultFailure
from returns.result import Result, Success

from tanagerpath.cli.failures import (
    CrossedReply,
    NoEntryReachable,
    Refused,
    UnreadableReply,
)
from tanagerpath.codecs import decode_json
from tanagerpath.core.protocol.callers import ErrorReply
from tanagerpath.errors import Failure
from tanagerpath.runtime.client import HttpClient, HttpReply
from tanagerpath.settings import ClientSettings

__all__ = ["EntryClient", "EntryRequest"]

# An entry waits for a new leader itself, so retries only have to cover lost exchanges.
MAX_ROUNDS = 3
_UNAVAILABLE_STATUS = 503

T = TypeVar("T")


@attrs.frozen
class EntryRequest:
    """One idempotent request to any entry.

    Attributes
    ----------
    method, path : str
        HTTP method and target.
    reply_type : type
        Message type of a successful reply.
    body : str
        JSON body.
    find_mismatch : callable
        Returns why a reply belongs to another request or is incomplete, or an empty
        string.
    extra_timeout_s : float
        Seconds for which the entry may hold the request open.
    retry_body : str
        JSON body after an attempt that may have been accepted; empty to reuse `body`.
    """

    method: str
    path: str
    reply_type: type
    body: str = ""
    find_mismatch: Callable[[Any], str] = lambda reply: ""
    extra_timeout_s: float = 0.0
    retry_body: str = ""


class EntryClient:
    """Sends requests to entries in turn until one replies.

    Parameters
    ----------
    settings : ClientSettings
        Entries in the order in which they are tried, timeout and retry delay.
    """

    def __init__(self, settings: ClientSettings) -> None:
        self._clients = [HttpClient(address) for address in settings.entries]
        self._timeout_s = settings.client_timeout_s
        self._pause_s = settings.client_pause_s

    async def ask(self, request: EntryRequest) -> Result[Any, Failure]:
        """Send a request until one entry replies.

        An entry that is unavailable (status 503) is skipped like one that does not
        reply, because another entry may be available.

        Parameters
        ----------
        request : EntryRequest
            The request.

        Returns
        -------
        Result
            The reply message, or `Refused` or `NoEntryReachable`.
        """
        refusal: Refused | None = None
        lost_exchanges: list[Failure] = []
        for number in range(MAX_ROUNDS):
            if number:
                await anyio.sleep(self._pause_s)
            for client in self._clients:
                may_have_run = any(not loss.not_run for loss in lost_exchanges)
                if refusal is not None:
                    may_have_run |= not refusal.error.not_run
                outcome = await self._exchange_once(client, request, may_have_run)
                if is_successful(outcome):
                    return outcome
                failure = outcome.failure()
                if not isinstance(failure, Refused):
                    lost_exchanges.append(failure)
                elif failure.status == _UNAVAILABLE_STATUS:
                    refusal = failure
                else:
                    return outcome
        return ResultFailure(refusal or self._make_unreachable(lost_exchanges))

    async def _exchange_once(
        self, client: HttpClient, request: EntryRequest, may_have_run: bool
    ) -> Result[Any, Failure]:
        body = request.retry_body if may_have_run else ""
        exchange = await client.exchange(
            request.method,
            request.path,
            (body or request.body).encode(),
            timeout_s=self._timeout_s + request.extra_timeout_s,
        )
        return exchange.bind(
            lambda reply: _decode_reply(client.address, request, reply)
        )

    def _make_unreachable(self, lost_exchanges: list[Failure]) -> NoEntryReachable:
        return NoEntryReachable(
            entries=tuple(client.address for client in self._clients),
            last=lost_exchanges[-1].message,
            not_run=all(loss.not_run for loss in lost_exchanges),
        )

    async def close(self) -> None:
        """Close all connections."""
        for client in self._clients:
            await client.close()


def _decode_reply(
    address: str, request: EntryRequest, reply: HttpReply
) -> Result[Any, Failure]:
    decoded = decode_json(reply.body, request.reply_type)
    if reply.status >= 400 and not is_successful(decoded):
        decoded = decode_json(reply.body, ErrorReply)
    if not is_successful(decoded):
        detail = f"status {reply.status}, {decoded.failure().message}"
        return ResultFailure(UnreadableReply(address=address, detail=detail))
    message = decoded.unwrap()
    if isinstance(message, ErrorReply):
        return ResultFailure(Refused(error=message.error, status=reply.status))
    mismatch = request.find_mismatch(message)
    if mismatch:
        return ResultFailure(CrossedReply(address=address, detail=mismatch))
    return Success(message)
