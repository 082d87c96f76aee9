"""Requests to the leader about workloads, upstreams and configuration."""

from collections.abc import Callable

import attrs

from tanagerpath.core.control.messages import RequestArrived, SendReply
from tanagerpath.core.control.proposals import OpenProposal
from tanagerpath.core.coordination import Instant
from tanagerpath.core.protocol.callers import ErrorBody
from tanagerpath.core.workloads import commands, replies, requests
from tanagerpath.core.workloads.admission import Refused
from tanagerpath.core.workloads.cancellations import (
    LATE_SUBMISSION_S,
    CancellationRecord,
)
from tanagerpath.core.workloads.configuration import Queue
from tanagerpath.core.workloads.dispatcher import Dispatcher
from tanagerpath.core.workloads.failures import (
    CancelledBefore,
    NoCapacity,
    NotConfigured,
    TooManyWorkloads,
    UnknownWave,
    UnknownWorkload,
    UnknownZone,
)
from tanagerpath.core.workloads.records import WorkloadRecord
from tanagerpath.core.workloads.refusals import MAX_REFUSALS
from tanagerpath.core.workloads.specs import WorkloadSpec
from tanagerpath.core.workloads.state import Applied, FleetState
from tanagerpath.errors import Failure

__all__ = ["WorkloadProposal", "WorkloadRequestHandler"]

RETRY_AFTER_S = 1.0
MAX_PROPOSED = 10_000
# Bound of names where the settings list no availability zones.
MAX_ZONE_CHARS = 63


@attrs.frozen
class WorkloadProposal(OpenProposal):
    """A proposed command about workloads, and the requests that wait for it.

    `leader_address` goes into the replies to heartbeats.
    """

    leader_address: str = ""

    def answer(self, result: Applied, state: FleetState) -> list[SendReply]:
        """Return the reply to each request that waits."""
        if not self.tokens:
            return []
        reply = self._make_reply(state)
        return [SendReply(token, reply) for token in self.tokens]

    def _make_reply(self, state: FleetState) -> object:
        match self.command:
            case commands.AcceptWorkload() as command:
                return replies.make_submission_reply(
                    state,
                    command.organisation,
                    command.spec.workload_id,
                    command.accepted_at_unix_s,
                )
            case commands.RefuseWorkload() as command:
                return replies.make_submission_reply(
                    state,
                    command.organisation,
                    command.workload_id,
                    command.refused_at_unix_s,
                )
            case commands.CancelWorkload() as command:
                return replies.make_cancellation_reply(state, command)
            case commands.PutConfiguration():
                return requests.ConfigurationStored(state.configuration.version)
            case commands.DeclareWave(wave=wave):
                return replies.make_wave_reply(state.waves[wave])
            case commands.SetEvacuation(zone=zone) as command:
                return replies.confirm_evacuation(state.find_evacuation(zone), command)
        return requests.UpstreamReportReply(self.leader_address)


class WorkloadRequestHandler:
    """Answers requests from the state, or returns the proposals that they need.

    One instance lives for one term of a leader.

    Parameters
    ----------
    state : FleetState
        Replicated state.
    dispatcher : Dispatcher
        Dispatcher of this leader.
    leader_address : str
        "ip:port" of this process for other processes of the system.
    list_addresses : callable
        Returns the addresses of all control VMs.
    """

    def __init__(
        self,
        state: FleetState,
        dispatcher: Dispatcher,
        leader_address: str,
        list_addresses: Callable[[], tuple[str, ...]],
    ) -> None:
        self._state = state
        self._dispatcher = dispatcher
        self._leader_address = leader_address
        self._list_addresses = list_addresses
        # Submissions that are proposed and not in the state yet, oldest first.
        self._proposed_ids: dict[str, None] = {}
        # Refusals that are proposed and not in the state yet, by organisation and
        # identity, oldest first.
        self._proposed_refusals: dict[tuple[str, str], commands.RefuseWorkload] = {}
        self._handlers = {
            requests.SubmitWorkload: self._submit,
            requests.WorkloadQuery: self._show_workload,
            requests.CancelWorkloadRequest: self._cancel,
            requests.PendingQuery: self._show_pending,
            requests.UpstreamReport: self._handle_heartbeat,
            requests.WithdrawalReport: self._handle_withdrawal,
            requests.ConfigurationRequest: self._put_configuration,
            requests.ConfigurationQuery: self._show_configuration,
            requests.WaveRequest: self._declare_wave,
            requests.WaveQuery: self._show_wave,
            requests.EvacuationQuery: self._show_evacuation,
            requests.EvacuationChange: self._change_evacuation,
            requests.LeaderQuery: self._show_leader,
        }

    def handle(
        self, arrived: RequestArrived, now: Instant
    ) -> tuple[object | None, list[WorkloadProposal]]:
        """Handle a request.

        Parameters
        ----------
        arrived : RequestArrived
            The request.
        now : Instant
            Reading of the clocks.

        Returns
        -------
        tuple
            The reply, None if it waits for the last proposal, and the proposals.
        """
        answer = self._handlers[type(arrived.request)](arrived.request, now)
        if isinstance(answer, Failure):
            self._log_refusal(arrived.request, answer)
            return ErrorBody.from_failure(answer), []
        if not isinstance(answer, list):
            return answer, []
        proposals = [
            WorkloadProposal(command, (), self._leader_address) for command in answer
        ]
        proposals[-1] = attrs.evolve(proposals[-1], tokens=(arrived.token,))
        return None, proposals

    def _log_refusal(self, request: object, failure: Failure) -> None:
        spec = getattr(request, "spec", None)
        workload_id = spec.workload_id if spec else getattr(request, "workload_id", "")
        configuration = self._state.configuration
        self._dispatcher.context.log_decision(
            "request refused",
            workload=workload_id,
            request=type(request).__name__,
            failure=failure.type_name,
            reason=failure.message,
            configuration=configuration.version if configuration else None,
        )

    # Callers

    def _identify(self, call: requests.Call) -> tuple[Queue, str] | Failure:
        configuration = self._state.configuration
        if configuration is None:
            return NotConfigured()
        return configuration.identify(call.host, call.path, call.api_key)

    def _submit(
        self, request: requests.SubmitWorkload, now: Instant
    ) -> object | list[commands.WorkloadCommand]:
        identity = self._identify(request.call)
        if isinstance(identity, Failure):
            return identity
        spec = request.spec
        if spec.workload_id in self._state.workloads:
            return replies.make_workload_reply(self._state, spec.workload_id)
        fault = spec.find_fault()
        if fault is not None:
            return fault
        queue, organisation = identity
        cancelled = self._state.cancellations.find_valid(
            organisation, spec.workload_id, now.unix_s
        )
        if cancelled is not None:
            return CancelledBefore(workload_id=spec.workload_id)
        if spec.workload_id not in self._proposed_ids:
            refusal = self._find_refusal(spec.workload_id, organisation, now)
            refusal = refusal or self._refuse(spec, queue, organisation, now)
            if refusal is not None:
                return refusal
        self._note_proposed(spec.workload_id)
        self._dispatcher.context.log_decision(
            "workload accepted",
            workload=spec.workload_id,
            queue=queue.name,
            organisation=organisation,
            tasks=sum(step.count for step in spec.steps),
            occurrences=len(spec.occurrences),
            configuration=self._state.configuration.version,
        )
        return [
            commands.AcceptWorkload(
                spec=spec,
                queue=queue.name,
                organisation=organisation,
                accepted_at_unix_s=now.unix_s,
                configuration_version=self._state.configuration.version,
            )
        ]

    def _find_refusal(
        self, workload_id: str, organisation: str, now: Instant
    ) -> NoCapacity | list[commands.WorkloadCommand] | None:
        """Return the valid refusal of a workload, or the proposal that holds it.

        A copy of the submission that was delayed inside the system gets the same
        answer, at this leader and at later ones.
        """
        refused = self._state.refusals.find_valid(organisation, workload_id, now.unix_s)
        if refused is not None:
            return replies.make_refusal(refused)
        proposed = self._proposed_refusals.get((organisation, workload_id))
        if proposed is not None and now.unix_s < proposed.retry_at_unix_s:
            return [proposed]
        return None

    def _refuse(
        self, spec: WorkloadSpec, queue: Queue, organisation: str, now: Instant
    ) -> TooManyWorkloads | list[commands.WorkloadCommand] | None:
        """Decide on a new submission; return None if it is accepted."""
        bound = self._dispatcher.context.terms.max_unfinished
        if len(self._dispatcher.context.backlog) >= bound:
            retry_at_unix_s = now.unix_s + RETRY_AFTER_S
            return TooManyWorkloads(bound=bound, retry_at_unix_s=retry_at_unix_s)
        self._forget_recorded_refusals(now)
        known = self._state.refusals.count_at(now.unix_s)
        if known + len(self._proposed_refusals) >= MAX_REFUSALS:
            return None
        decision = self._dispatcher.admission.decide(spec, queue, organisation, now)
        if not isinstance(decision, Refused):
            return None
        command = commands.RefuseWorkload(
            workload_id=spec.workload_id,
            queue=queue.name,
            organisation=organisation,
            priority=queue.priority,
            refused_at_unix_s=now.unix_s,
            retry_at_unix_s=decision.retry_at_unix_s,
            work_s=decision.work_s,
        )
        self._proposed_refusals[(organisation, spec.workload_id)] = command
        return [command]

    def _forget_recorded_refusals(self, now: Instant) -> None:
        """Forget the oldest proposed refusals that are in the state or out of date."""
        while self._proposed_refusals:
            key, oldest = next(iter(self._proposed_refusals.items()))
            refused = self._state.refusals.find(*key)
            is_recorded = (
                refused is not None
                and refused.refused_unix_s >= oldest.refused_at_unix_s
            )
            if not is_recorded and now.unix_s < oldest.retry_at_unix_s:
                break
            del self._proposed_refusals[key]

    def note_decided(self, command: commands.WorkloadCommand) -> None:
        """Forget a proposed submission that the log has decided on or rejected."""
        if not isinstance(command, commands.AcceptWorkload):
            return
        workload_id = command.spec.workload_id
        self._proposed_ids.pop(workload_id, None)
        if workload_id not in self._state.workloads:
            self._dispatcher.context.log_decision(
                "acceptance without effect",
                workload=workload_id,
                queue=command.queue,
                decided_by=command.configuration_version,
                configuration=self._state.configuration.version,
            )

    def _note_proposed(self, workload_id: str) -> None:
        """Remember a submission until it is in the state."""
        while self._proposed_ids:
            oldest = next(iter(self._proposed_ids))
            is_full = len(self._proposed_ids) >= MAX_PROPOSED
            if oldest not in self._state.workloads and not is_full:
                break
            del self._proposed_ids[oldest]
        self._proposed_ids[workload_id] = None

    def _find_record(
        self, call: requests.Call, workload_id: str
    ) -> WorkloadRecord | Failure:
        identity = self._identify(call)
        if isinstance(identity, Failure):
            return identity
        record = self._state.workloads.get(workload_id)
        return record or UnknownWorkload(workload_id=workload_id)

    def _show_workload(self, request: requests.WorkloadQuery, now: Instant) -> object:
        record = self._find_record(request.call, request.workload_id)
        if isinstance(record, Failure):
            return record
        return requests.WorkloadReply(record.workload_id, record.state)

    def _cancel(
        self, request: requests.CancelWorkloadRequest, now: Instant
    ) -> object | list[commands.WorkloadCommand]:
        identity = self._identify(request.call)
        if isinstance(identity, Failure):
            return identity
        _, organisation = identity
        workload_id = request.workload_id
        record = self._state.workloads.get(workload_id)
        if record is not None and record.final_state is not None:
            return requests.WorkloadReply(workload_id, record.state)
        unknown = CancellationRecord(
            workload_id=workload_id,
            organisation=organisation,
            refused_until_unix_s=now.unix_s + LATE_SUBMISSION_S,
        )
        failure = self._find_cancelled(unknown, now) if record is None else None
        return failure or [commands.CancelWorkload(workload_id, now.unix_s, unknown)]

    def _find_cancelled(
        self, unknown: CancellationRecord, now: Instant
    ) -> Failure | None:
        """Return the answer to the cancellation of an unknown workload.

        It is None where the log has to decide: a submission may precede the
        cancellation there, or it has to be remembered.
        """
        cancellations = self._state.cancellations
        if cancellations.covers_repeat(*unknown.key, now.unix_s):
            return UnknownWorkload(workload_id=unknown.workload_id)
        if unknown.workload_id in self._proposed_ids:
            return None
        return replies.find_overload(self._state, unknown, now.unix_s)

    def _show_pending(self, request: requests.PendingQuery, now: Instant) -> object:
        identity = self._identify(request.call)
        if isinstance(identity, Failure):
            return identity
        queue, _ = identity
        count = self._dispatcher.context.backlog.count_pending(queue.name)
        return requests.PendingCount(count)

    # Upstreams

    def _handle_heartbeat(
        self, request: requests.UpstreamReport, now: Instant
    ) -> object | list[commands.WorkloadCommand]:
        needed = self._dispatcher.registry.handle_report(request)
        return needed or requests.UpstreamReportReply(self._leader_address)

    def _handle_withdrawal(
        self, request: requests.WithdrawalReport, now: Instant
    ) -> object | list[commands.WorkloadCommand]:
        needed = self._dispatcher.registry.handle_withdrawal(request)
        return needed or requests.UpstreamReportReply(self._leader_address)

    # Operators

    def _put_configuration(
        self, request: requests.ConfigurationRequest, now: Instant
    ) -> object | list[commands.WorkloadCommand]:
        configuration = request.configuration
        fault = configuration.find_fault()
        if fault is not None:
            return fault
        current = self._state.configuration
        if current is not None and configuration.version <= current.version:
            return requests.ConfigurationStored(current.version)
        self._dispatcher.context.log_decision(
            "configuration accepted",
            version=configuration.version,
            before=current.version if current else None,
            queues=len(configuration.queues),
            organisations=len(configuration.organisations),
        )
        return [commands.PutConfiguration(configuration)]

    def _show_configuration(
        self, request: requests.ConfigurationQuery, now: Instant
    ) -> object:
        current = self._state.configuration
        if current is None:
            return NotConfigured()
        return requests.ConfigurationReply(current.version, current.document)

    def _declare_wave(
        self, request: requests.WaveRequest, now: Instant
    ) -> object | list[commands.WorkloadCommand]:
        existing = self._state.waves.get(request.wave)
        if existing is not None:
            return replies.make_wave_reply(existing)
        return [
            commands.DeclareWave(
                wave=request.wave,
                vm_ids=request.vm_ids,
                due_at_unix_s=now.unix_s + request.duration_s,
                most_at_once=request.most_at_once,
            )
        ]

    def _show_wave(self, request: requests.WaveQuery, now: Instant) -> object:
        wave = self._state.waves.get(request.wave)
        if wave is None:
            return UnknownWave(wave=request.wave)
        return replies.make_wave_reply(wave)

    def _show_evacuation(
        self, request: requests.EvacuationQuery, now: Instant
    ) -> object:
        if not self._is_known_zone(request.zone):
            known = self._dispatcher.context.terms.availability_zones
            return UnknownZone(zone=request.zone, known=known)
        return replies.make_evacuation_reply(self._state.find_evacuation(request.zone))

    def _is_known_zone(self, zone: str) -> bool:
        """Return whether orders for an availability zone are accepted.

        A zone that has had one stays known: its evacuation must not outlast a change of
        the settings.
        """
        if zone in self._state.evacuations:
            return True
        known = self._dispatcher.context.terms.availability_zones
        return zone in known if known else 0 < len(zone) <= MAX_ZONE_CHARS

    def _change_evacuation(
        self, request: requests.EvacuationChange, now: Instant
    ) -> object | list[commands.WorkloadCommand]:
        command = commands.SetEvacuation(
            request.zone, request.is_evacuated, request.expected_revision
        )
        current = self._state.find_evacuation(request.zone)
        if current.revision == command.expected_revision:
            return [command]
        return replies.confirm_evacuation(current, command)

    def _show_leader(self, request: requests.LeaderQuery, now: Instant) -> object:
        configuration = self._state.configuration
        return requests.LeaderReply(
            self._leader_address,
            self._list_addresses(),
            configuration.caller_limits if configuration else None,
        )
