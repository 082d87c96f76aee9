"""Cost of the replicated state: memory, snapshots and bytes in the log."""

import time

from tanagerpath.benchmarks.capacity_load import (
    make_announcement,
    make_document,
    make_request,
    measure_reachable_bytes,
    time_calls,
)
from tanagerpath.benchmarks.slopes import LineSpec, Probe
from tanagerpath.codecs.replication import StoredBatch, StoredWrite, encode_stored
from tanagerpath.codecs.state import JsonStateCodec
from tanagerpath.core.consensus import EntryKind, LogEntry
from tanagerpath.core.control.feeds import LongPollQueue
from tanagerpath.core.model import AcceleratorRun, Assignment, AttemptId, JobState
from tanagerpath.core.protocol.internal import FeedRequest
from tanagerpath.core.state import (
    AcceptJob,
    ApplyDocument,
    Command,
    FinishJob,
    RecordStart,
    RegisterUpstream,
    SystemState,
    make_job_id,
)

__all__ = ["DocumentProbe", "LogProbe", "StateProbe"]

_CODEC = JsonStateCodec()
FIRST_INDEX = 10**6
TERM = 7
EXPIRES_UNIX_S = 2e9


def _make_jobs(count: int, members: int, ended: bool) -> list[Command]:
    commands: list[Command] = []
    for number in range(count):
        commands += make_job_commands(number, members, ended)
    return commands


def make_job_commands(number: int, members: int, ended: bool) -> list[Command]:
    """Return the commands of one job, up to its start or its answer."""
    request = make_request(number, min(members * 8, 1024))
    job_id = make_job_id(request.organisation, request.service, request.key)
    attempt = AttemptId(TERM, number)
    runs = tuple(
        AcceleratorRun(make_announcement(rank).capacity.upstream_id, 0, 8)
        for rank in range(members)
    )
    commands: list[Command] = [
        AcceptJob(job_id, request, 1_000_000.5),
        RecordStart(job_id, attempt, Assignment(runs)),
    ]
    if ended:
        finish = FinishJob(
            job_id, attempt, JobState.ANSWERED, EXPIRES_UNIX_S, "y" * 200, "0" * 64
        )
        commands.append(finish)
    return commands


def _apply_all(commands: list[Command]) -> SystemState:
    state = SystemState()
    state.apply(1, ApplyDocument(make_document()))
    for index, command in enumerate(commands, start=2):
        state.apply(index, command)
    return state


def _apply_decoded(commands: list[Command]) -> SystemState:
    """Apply commands as they come from the network, which share no text."""
    payloads = [_CODEC.encode_command(command) for command in commands]
    return _apply_all([_CODEC.decode_command(payload) for payload in payloads])


class StateProbe(Probe):
    """Memory and snapshots of running jobs, ended jobs and upstreams."""

    specs = (
        LineSpec("state.memory_running_job", "B", "job", "jobs with 1 member"),
        LineSpec("state.memory_ended_job", "B", "job", "200 B payload and answer"),
        LineSpec("state.memory_upstream", "B", "upstream", "announcements"),
        LineSpec("state.snapshot_bytes", "B", "job", "ended jobs"),
        LineSpec("state.snapshot_encode", "s", "job", "ended jobs"),
        LineSpec("state.snapshot_decode", "s", "job", "ended jobs"),
        LineSpec("state.snapshot_bytes_upstream", "B", "upstream", "announcements"),
        LineSpec("state.snapshot_encode_upstream", "s", "upstream", "announcements"),
        LineSpec("state.search_expired", "s", "job", "ended jobs, none expired"),
    )

    def __init__(self, sizes: tuple[int, ...] = (25, 250, 2500)) -> None:
        self.sizes = sizes

    def prepare(self, size: int) -> None:
        """Build states with `size` records of each kind."""
        self._ended = _apply_decoded(_make_jobs(size, 1, True))
        running = _apply_decoded(_make_jobs(size, 1, False))
        announcements = [RegisterUpstream(make_announcement(i)) for i in range(size)]
        self._upstreams = _apply_decoded(announcements)
        self._memory = {
            "state.memory_running_job": float(measure_reachable_bytes(running)),
            "state.memory_ended_job": float(measure_reachable_bytes(self._ended)),
            "state.memory_upstream": float(measure_reachable_bytes(self._upstreams)),
        }

    def measure(self) -> dict[str, float]:
        """See `Probe`."""
        begun_s = time.thread_time()
        text = _CODEC.encode_snapshot(self._ended.make_snapshot())
        encoded_s = time.thread_time()
        _CODEC.decode_snapshot(text)
        decoded_s = time.thread_time()
        upstreams_text = _CODEC.encode_snapshot(self._upstreams.make_snapshot())
        upstreams_s = time.thread_time() - decoded_s
        return {
            "state.snapshot_bytes": float(len(text)),
            "state.snapshot_encode": encoded_s - begun_s,
            "state.snapshot_decode": decoded_s - encoded_s,
            "state.snapshot_bytes_upstream": float(len(upstreams_text)),
            "state.snapshot_encode_upstream": upstreams_s,
            "state.search_expired": time_calls(
                lambda: self._ended.has_expired_jobs(1.0), 5
            ),
            **self._memory,
        }


class DocumentProbe(Probe):
    """Documents in memory, and what they add to each check of a feed."""

    specs = (
        LineSpec("document.memory", "B", "document", "10 organisations in each"),
        LineSpec("document.snapshot_bytes", "B", "document", "10 organisations"),
        LineSpec(
            "feed.check_held_poll",
            "s",
            "document",
            "one held poll, nothing changed; done for each poll in each loop",
        ),
        LineSpec(
            "feed.collect_change",
            "s",
            "document",
            "one document changed since the poll",
        ),
    )

    def __init__(self, sizes: tuple[int, ...] = (10, 50, 150)) -> None:
        self.sizes = sizes

    def prepare(self, size: int) -> None:
        """Put documents in force."""
        self._state = SystemState()
        for number in range(size):
            document = make_document(f"service-{number:03d}")
            self._state.apply(number + 1, ApplyDocument(document))
        self._memory = float(measure_reachable_bytes(self._state))
        self._bytes = float(len(_CODEC.encode_snapshot(self._state.make_snapshot())))

    def measure(self) -> dict[str, float]:
        """See `Probe`."""
        index = self._state.applied_index
        polls = LongPollQueue(hold_s=60.0)
        polls.add(1, FeedRequest("entry-1", index), 0.0)
        check_s = time_calls(lambda: polls.answer_due(self._state, 1.0, True), 200)
        collect_s = time_calls(lambda: self._state.collect_changes(index - 1), 200)
        return {
            "document.memory": self._memory,
            "document.snapshot_bytes": self._bytes,
            "feed.check_held_poll": check_s,
            "feed.collect_change": collect_s,
        }


class LogProbe(Probe):
    """Bytes and processor time of the records of one whole job, by gang size."""

    specs = (
        LineSpec("log.job_bytes", "B", "member", "accept, start and answer of a job"),
        LineSpec("log.job_encode", "s", "member", "the same, command and record"),
        LineSpec("log.job_apply", "s", "member", "the same, on a new state"),
        LineSpec("state.memory_gang", "B", "member", "one running job"),
    )

    def __init__(self, sizes: tuple[int, ...] = (1, 16, 128)) -> None:
        self.sizes = sizes

    def prepare(self, size: int) -> None:
        """Build the commands of one job."""
        self._commands = make_job_commands(1, size, True)
        running = _apply_decoded(make_job_commands(1, size, False))
        self._memory = float(measure_reachable_bytes(running))

    def measure(self) -> dict[str, float]:
        """See `Probe`."""
        return {
            "log.job_bytes": float(sum(map(len, self._encode()))),
            "log.job_encode": time_calls(self._encode, 20),
            "log.job_apply": time_calls(lambda: _apply_all(self._commands), 20)
            - time_calls(lambda: _apply_all([]), 20),
            "state.memory_gang": self._memory,
        }

    def _encode(self) -> list[bytes]:
        return [encode_entry(command) for command in self._commands]


def encode_entry(command: Command) -> bytes:
    """Return the log file's text for one command that is synced alone."""
    payload = _CODEC.encode_command(command)
    entry = LogEntry(FIRST_INDEX, TERM, EntryKind.COMMAND, payload)
    write = StoredWrite("c1.0123456789abcdef", TERM, None, None, (entry,))
    return encode_stored(StoredBatch((write,)))
