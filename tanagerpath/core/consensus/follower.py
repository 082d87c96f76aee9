"""Follower: appends the leader's entries and installs its snapshots."""

import attrs

from tanagerpath.core.consensus.context import ReplicaContext
from tanagerpath.core.consensus.events import LogEntry, Role, Snapshot
from tanagerpath.core.consensus.messages import (
    AppendReply,
    AppendRequest,
    SnapshotChunk,
    SnapshotChunkReply,
    StaleTerm,
)
from tanagerpath.core.consensus.snapshot_transfer import SnapshotAssembly
from tanagerpath.errors import Failure, FailureError

__all__ = ["Follower", "LogDiverged"]

# At least as many as a leader sends ahead of the replies.
MAX_REQUESTS_AHEAD = 16


@attrs.frozen(kw_only=True)
class LogDiverged(Failure):
    """A leader would overwrite a committed entry; the replica must stop."""

    index: int
    leader_id: str

    @property
    def message(self) -> str:
        """One line for people."""
        return f"{self.leader_id} would overwrite the committed entry {self.index}"


class Follower:
    """Handles append requests and snapshots from the leader of the term.

    Entries are acknowledged only after they are synced. Heartbeats are answered at once
    with the last synced index, so that a slow disk does not end the lease.

    Parameters
    ----------
    context : ReplicaContext
        Shared state of the replica.
    """

    assembly_class = SnapshotAssembly

    def __init__(self, context: ReplicaContext) -> None:
        self._context = context
        self._reset_leader_state()
        self._verified_term = 0

    def _reset_leader_state(self) -> None:
        self._verified_index = 0  # last index known to equal the leader's log
        self._acknowledged_index = 0
        self._last_request: AppendRequest | None = None
        # Requests that overtook the one before them, by the index before their entries.
        self._ahead: dict[int, AppendRequest] = {}
        self._assembly: SnapshotAssembly | None = None

    def _accept_leader(self, sender: str, term: int) -> bool:
        context = self._context
        if term < context.term:
            return False
        if context.role is Role.LEADER and term == context.term:
            return False
        context.become_follower(term, sender)
        context.record_leader_contact(sender)
        if self._verified_term != term:
            self._reset_leader_state()
            self._verified_term = term
        return True

    def handle_append(self, sender: str, request: AppendRequest) -> None:
        """Append entries that match the local log, or reply where to send from."""
        if not self._accept_leader(sender, request.term):
            self._context.send(sender, StaleTerm(self._context.term))
            return
        request = self._skip_compacted_entries(request)
        if self._keep_if_ahead(request):
            return
        self._handle_next(sender, request)
        self._handle_kept(sender)

    def _handle_kept(self, sender: str) -> None:
        """Append the entries that waited for the last ones, and drop repeated ones."""
        log = self._context.log
        while following := self._ahead.pop(log.last_index, None):
            self._handle_next(sender, following)
        if self._ahead:
            self._ahead = {
                index: request
                for index, request in self._ahead.items()
                if index > log.last_index
            }

    def _keep_if_ahead(self, request: AppendRequest) -> bool:
        """Keep entries whose predecessors are still on the way; return whether kept.

        If those are lost, the reply to the next heartbeat tells the leader.
        """
        has_gap = request.prev_index > self._context.log.last_index
        if not (request.entries and has_gap) or len(self._ahead) >= MAX_REQUESTS_AHEAD:
            return False
        self._ahead[request.prev_index] = request
        return True

    def _handle_next(self, sender: str, request: AppendRequest) -> None:
        if self._context.log.find_term(request.prev_index) != request.prev_term:
            self._reject(sender, request, self._find_hint(request.prev_index))
            return
        self._append_new_entries(sender, request.entries)
        matched = request.prev_index + len(request.entries)
        self._verified_index = max(self._verified_index, matched)
        self._context.commit_to(min(request.commit_index, matched))
        self._last_request = request
        if not request.entries or self._context.journal.synced_index >= matched:
            self._acknowledge(sender, request)

    def _skip_compacted_entries(self, request: AppendRequest) -> AppendRequest:
        log = self._context.log
        skipped = log.base_index - request.prev_index
        if skipped <= 0:
            return request
        # Entries up to the base are committed and therefore equal to the leader's.
        return attrs.evolve(
            request,
            prev_index=log.base_index,
            prev_term=log.base_term,
            entries=request.entries[skipped:],
        )

    def _find_hint(self, prev_index: int) -> int:
        context = self._context
        if prev_index > context.log.last_index:
            return context.log.last_index + 1
        if prev_index <= context.commit_index:
            return context.commit_index + 1
        start = context.log.find_term_start(prev_index)
        return max(start, context.commit_index + 1)

    def _reject(self, sender: str, request: AppendRequest, hint_index: int) -> None:
        self._reply(sender, request, False, 0, hint_index)

    def _acknowledge(self, sender: str, request: AppendRequest) -> None:
        matched = request.prev_index + len(request.entries)
        synced = min(matched, self._context.journal.synced_index)
        self._acknowledged_index = max(self._acknowledged_index, synced)
        self._reply(sender, request, True, synced, 0)

    def _reply(
        self,
        sender: str,
        request: AppendRequest,
        accepted: bool,
        match_index: int,
        hint_index: int,
    ) -> None:
        self._context.send(
            sender,
            AppendReply(
                term=self._context.term,
                accepted=accepted,
                match_index=match_index,
                prev_index=request.prev_index,
                hint_index=hint_index,
                sent_s=request.sent_s,
            ),
        )

    def _append_new_entries(self, sender: str, entries: tuple[LogEntry, ...]) -> None:
        context = self._context
        log = context.log
        for position, entry in enumerate(entries):
            held_term = log.find_term(entry.index)
            if held_term == entry.term:
                continue
            if held_term is not None:
                self._truncate(sender, entry.index)
            context.append(entries[position:])
            return

    def _truncate(self, sender: str, index: int) -> None:
        context = self._context
        if index <= context.commit_index:
            raise FailureError(LogDiverged(index=index, leader_id=sender))
        context.truncate_from(index)
        self._verified_index = min(self._verified_index, index - 1)

    def record_sync(self) -> None:
        """Acknowledge the entries that the last sync made durable."""
        context = self._context
        if context.leader_id is None or context.role is Role.LEADER:
            return
        request = self._last_request
        synced = min(self._verified_index, context.journal.synced_index)
        if request is None or request.term != context.term:
            return
        if synced > self._acknowledged_index:
            self._acknowledged_index = synced
            self._reply(context.leader_id, request, True, synced, 0)

    def handle_chunk(self, sender: str, chunk: SnapshotChunk) -> None:
        """Collect the chunks of a snapshot and install it once complete."""
        if not self._accept_leader(sender, chunk.term):
            self._context.send(sender, StaleTerm(self._context.term))
            return
        if self._covers_snapshot(chunk):
            self._confirm_snapshot(sender, chunk)
            return
        if self._assembly is None or not self._assembly.is_for(chunk):
            self._assembly = self.assembly_class(chunk.last_index, chunk.last_term)
        self._assembly.add(chunk)
        if self._assembly.is_complete:
            self._install(self._assembly.join(), chunk)
            return
        self._context.send(
            sender,
            SnapshotChunkReply(
                self._context.term,
                chunk.last_index,
                self._assembly.received_chars,
                chunk.sent_s,
            ),
        )

    def _covers_snapshot(self, chunk: SnapshotChunk) -> bool:
        """Return whether the log holds all entries that the snapshot covers.

        The log is kept then: later entries may have been acknowledged.
        """
        context = self._context
        if chunk.last_index <= context.commit_index:
            return True
        return context.log.find_term(chunk.last_index) == chunk.last_term

    def _install(self, payload: str, chunk: SnapshotChunk) -> None:
        self._assembly = None
        snapshot = Snapshot(
            chunk.last_index, chunk.last_term, chunk.membership, payload
        )
        self._context.install_snapshot(snapshot)
        self._verified_index = max(self._verified_index, chunk.last_index)
        self._last_request = self._make_append_request(chunk)

    def _confirm_snapshot(self, sender: str, chunk: SnapshotChunk) -> None:
        self._verified_index = max(self._verified_index, chunk.last_index)
        self._context.commit_to(chunk.last_index)
        self._acknowledge(sender, self._make_append_request(chunk))

    def _make_append_request(self, chunk: SnapshotChunk) -> AppendRequest:
        return AppendRequest(
            term=chunk.term,
            prev_index=chunk.last_index,
            prev_term=chunk.last_term,
            entries=(),
            commit_index=chunk.last_index,
            sent_s=chunk.sent_s,
        )
