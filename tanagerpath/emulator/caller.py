"""Client of the caller and operator interface, as a caller's own program has one."""

import time
from collections.abc import Sequence

import anyio
import attrs
from returns.pipeline import is_successful

from tanagerpath.codecs import decode_json, encode_json
from tanagerpath.core.model import JobRequest, ServiceDocument
from tanagerpath.core.protocol.callers import (
    DocumentReply,
    DocumentRequest,
    ErrorBody,
    ErrorReply,
    JobReply,
    SubmitRequest,
)
from tanagerpath.core.protocol.internal import StatusReply
from tanagerpath.runtime import Mailbox, Task
from tanagerpath.runtime.client import ConnectFailed, ExchangeCut, HttpClient

__all__ = ["CallerClient", "Outcome", "ReadinessWatch"]

EXCHANGE_MARGIN_S = 2.0
# An entry may take 5 s to find the leader and get its reply.
OPERATOR_TIMEOUT_S = 6.0
PROBE_INTERVAL_S = 0.2


@attrs.frozen
class Outcome:
    """Outcome of one exchange.

    Attributes
    ----------
    value : object or None
        Decoded reply of a successful exchange.
    error : ErrorBody or None
        Typed refusal.
    status : int
        HTTP status; 0 without a reply.
    sent : bool
        Whether the request may have arrived.
    cut : bool
        Whether the connection ended before the reply.
    """

    value: object | None = None
    error: ErrorBody | None = None
    status: int = 0
    sent: bool = True
    cut: bool = False


class CallerClient:
    """Exchanges with one of several entries; `move_on` turns to the next one.

    Parameters
    ----------
    addresses : sequence of str
        "ip:port" of the entries.
    first : int
        Index of the entry that is used first.
    """

    def __init__(self, addresses: tuple[str, ...], first: int = 0) -> None:
        self._clients = [HttpClient(address, 1) for address in addresses]
        self._index = first % len(addresses)

    def move_on(self) -> None:
        """Use the next entry from now on."""
        self._index = (self._index + 1) % len(self._clients)

    def use(self, index: int) -> None:
        """Use one entry from now on."""
        self._index = index

    async def submit(
        self, job: JobRequest, wait_s: float, retry: bool = False
    ) -> Outcome:
        """Submit a job and wait up to `wait_s` seconds for its end.

        `retry` tells that an earlier try may have been accepted.
        """
        until_unix_s = time.time() + wait_s if wait_s else None
        request = SubmitRequest(job, until_unix_s, retry)
        timeout_s = wait_s + EXCHANGE_MARGIN_S
        return await self._exchange("POST", "/v1/jobs", request, JobReply, timeout_s)

    async def poll(self, job_id: str, wait_s: float) -> Outcome:
        """Ask for the answer of a job and wait up to `wait_s` seconds for it."""
        path = f"/v1/jobs/{job_id}/answer?wait_ms={int(wait_s * 1000)}"
        timeout_s = wait_s + EXCHANGE_MARGIN_S
        return await self._exchange("GET", path, None, JobReply, timeout_s)

    async def cancel(self, job_id: str) -> Outcome:
        """Cancel a job."""
        return await self._exchange("DELETE", f"/v1/jobs/{job_id}", None, JobReply)

    async def apply(self, document: ServiceDocument) -> Outcome:
        """Apply a document."""
        path = f"/v1/services/{document.service}/document"
        return await self._exchange(
            "PUT", path, DocumentRequest(document), DocumentReply
        )

    async def read_document(self, service: str) -> Outcome:
        """Return the document in force."""
        path = f"/v1/services/{service}/document"
        return await self._exchange("GET", path, None, DocumentReply)

    async def read_status(self) -> Outcome:
        """Return the state of the whole system."""
        return await self._exchange("GET", "/v1/status", None, StatusReply)

    async def is_ready(self) -> bool:
        """Whether the entry in use takes work."""
        reply = await self._clients[self._index].exchange("GET", "/readyz")
        return is_successful(reply) and reply.unwrap().status == 200

    async def _exchange(
        self,
        method: str,
        path: str,
        request: object,
        kind: type,
        timeout_s: float = OPERATOR_TIMEOUT_S,
    ) -> Outcome:
        body = encode_json(request).encode() if request is not None else b""
        result = await self._clients[self._index].exchange(
            method, path, body, timeout_s=timeout_s
        )
        if not is_successful(result):
            failure = result.failure()
            return Outcome(
                sent=not isinstance(failure, ConnectFailed),
                cut=isinstance(failure, ExchangeCut),
            )
        reply = result.unwrap()
        # A job that never ran has the status of its refusal and the body of a job.
        value = decode_json(reply.body, kind).value_or(None)
        refusal = decode_json(reply.body, ErrorReply).value_or(None)
        error = refusal.error if refusal is not None else None
        return Outcome(value, error, reply.status)

    async def close(self) -> None:
        """Close all connections."""
        for client in self._clients:
            await client.close()


class ReadinessWatch(Task):
    """Probes entries as a balancer does and posts the indexes of the ready ones.

    Parameters
    ----------
    addresses : sequence of str
        "ip:port" of the entries.
    owner : Mailbox
        Gets a tuple of int after each round.
    """

    def __init__(self, addresses: Sequence[str], owner: Mailbox) -> None:
        self._clients = [CallerClient((address,)) for address in addresses]
        self._owner = owner

    async def run(self) -> None:
        """Probe until cancelled."""
        try:
            while True:
                ready = [await client.is_ready() for client in self._clients]
                self._owner.post(tuple(i for i, passed in enumerate(ready) if passed))
                await anyio.sleep(PROBE_INTERVAL_S)
        finally:
            with anyio.CancelScope(shield=True):
                for client in self._clients:
                    await client.close()
