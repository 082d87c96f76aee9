"""Replies to requests about workloads, waves and availability zones."""

from tanagerpath.core.protocol.callers import ErrorBody
from tanagerpath.core.protocol.leadership import NotLeaderReply
from tanagerpath.core.workloads import commands, requests
from tanagerpath.core.workloads.cancellations import CancellationRecord
from tanagerpath.core.workloads.failures import (
    CancelledBefore,
    EvacuationSuperseded,
    NoCapacity,
    TooManyCancellations,
    UnknownWorkload,
)
from tanagerpath.core.workloads.records import EvacuationRecord, WaveRecord
from tanagerpath.core.workloads.refusals import RefusalRecord
from tanagerpath.core.workloads.state import FleetState

__all__ = [
    "confirm_evacuation",
    "find_overload",
    "make_cancellation_reply",
    "make_evacuation_reply",
    "make_refusal",
    "make_submission_reply",
    "make_wave_reply",
    "make_workload_reply",
]


def make_workload_reply(state: FleetState, workload_id: str) -> object:
    """Return the state of a workload, a failure if it is not known."""
    record = state.workloads.get(workload_id)
    if record is None:
        return ErrorBody.from_failure(UnknownWorkload(workload_id=workload_id))
    return requests.WorkloadReply(workload_id, record.state)


def make_submission_reply(
    state: FleetState, organisation: str, workload_id: str, decided_at_unix_s: float
) -> object:
    """Return what the log has decided on a submission.

    The order of its entries decides between an acceptance and a refusal. Without
    either, the submission has to be decided anew: its queue was removed before the
    acceptance, or the memory of refusals is full.
    """
    if workload_id in state.workloads:
        return make_workload_reply(state, workload_id)
    cancelled = state.cancellations.find_valid(
        organisation, workload_id, decided_at_unix_s
    )
    if cancelled is not None:
        return ErrorBody.from_failure(CancelledBefore(workload_id=workload_id))
    refused = state.refusals.find(organisation, workload_id)
    if refused is None:
        return NotLeaderReply()
    return ErrorBody.from_failure(make_refusal(refused))


def make_cancellation_reply(
    state: FleetState, command: commands.CancelWorkload
) -> object:
    """Return the effect of a cancellation.

    That a workload is not known is a promise that it never runs, which is given only if
    the log holds it.
    """
    unknown = command.if_unknown
    is_stored = command.workload_id in state.workloads
    if is_stored or unknown is None or state.cancellations.find(*unknown.key):
        return make_workload_reply(state, command.workload_id)
    overload = find_overload(state, unknown, command.ended_at_unix_s)
    return ErrorBody.from_failure(overload) if overload else NotLeaderReply()


def find_overload(
    state: FleetState, unknown: CancellationRecord, now_unix_s: float
) -> TooManyCancellations | None:
    """Return why a cancellation can't be remembered, None if it can.

    Parameters
    ----------
    state : FleetState
        Replicated state.
    unknown : CancellationRecord
        The cancellation.
    now_unix_s : float
        Time in UTC seconds.
    """
    room_unix_s = state.cancellations.find_room_unix_s(unknown.organisation, now_unix_s)
    if room_unix_s <= now_unix_s:
        return None
    return TooManyCancellations(
        workload_id=unknown.workload_id, retry_at_unix_s=room_unix_s
    )


def make_refusal(refused: RefusalRecord) -> NoCapacity:
    """Return the failure that tells a caller of a refusal."""
    return NoCapacity(
        workload_id=refused.workload_id,
        queue=refused.queue,
        retry_at_unix_s=refused.retry_at_unix_s,
    )


def make_wave_reply(wave: WaveRecord) -> requests.WaveReply:
    """Return whether a wave is completed."""
    return requests.WaveReply(wave.wave, wave.is_completed)


def make_evacuation_reply(record: EvacuationRecord) -> requests.EvacuationReply:
    """Return the last order for an availability zone in effect."""
    return requests.EvacuationReply(record.zone, record.is_evacuated, record.revision)


def confirm_evacuation(
    current: EvacuationRecord, command: commands.SetEvacuation
) -> object:
    """Return the reply to an order, a failure if it is not the last one in effect.

    Two commands with the same revision and content have one effect, as a request that
    is repeated after a lost reply.
    """
    expected = command.expected_revision
    if current == EvacuationRecord(command.zone, command.is_evacuated, expected + 1):
        return make_evacuation_reply(current)
    failure = EvacuationSuperseded(
        zone=command.zone, expected_revision=expected, revision=current.revision
    )
    return ErrorBody.from_failure(failure)
