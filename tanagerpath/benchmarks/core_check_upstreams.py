"""Upstreams of the check, driven through the stand-in's task table."""

import itertools
import math

from tanagerpath.benchmarks.core_check_promises import Promises
from tanagerpath.benchmarks.core_check_world import Party, Respond, World
from tanagerpath.core.model import UpstreamCapacity
from tanagerpath.core.protocol import upstreams as protocol
from tanagerpath.emulator.faults import Faults, ReportDelivery, ReportFault
from tanagerpath.emulator.tasks_table import MemberKey, TasksTable

__all__ = ["UpstreamVm"]

ANNOUNCE_AFTER_S = 3.0
ANNOUNCE_CHECK_S = 0.5
# Calls are routed by name; the address only has to be well formed.
ANNOUNCED_ADDRESS = "10.0.0.1:1"
RESEND_INTERVAL_S = 1.0
EXCHANGE_TIMEOUT_S = 1.0


class UpstreamVm(Party):
    """One upstream VM.

    Parameters
    ----------
    world : World
        Where it lives.
    capacity : UpstreamCapacity
        What it carries; its id is the name of the party.
    entries : list of Party
        Where announcements and reports go.
    promises : Promises
        Sees what runs.
    """

    def __init__(
        self,
        world: World,
        capacity: UpstreamCapacity,
        entries: list[Party],
        promises: Promises,
    ) -> None:
        super().__init__(world, capacity.upstream_id)
        self.capacity = capacity
        self.table = TasksTable(capacity, "")
        self._entries = entries
        self._promises = promises
        self._renewed_at_s = -math.inf
        self._last_answered: protocol.TaskReport | None = None
        self._poke_at_s = math.inf

    @property
    def clock_ms(self) -> int:
        """Monotonic clock of the upstream."""
        return int(self.local_s * 1000)

    def start(self) -> None:
        """Start a new incarnation, which holds no tasks."""
        if self.is_up:
            return
        self.begin()
        self.table = TasksTable(self.capacity, f"{self.name}-{self.starts}")
        self._renewed_at_s = -math.inf
        self._poke_at_s = math.inf
        self.world.note(f"{self.name} starts")
        self.repeat(ANNOUNCE_CHECK_S, self._announce_if_due)

    def crash(self) -> None:
        """Kill the process and all its tasks."""
        self.end()
        self._promises.note_upstream_crash(self)

    def thaw(self) -> None:
        """Go on; what ended in the meantime ends before any message is handled."""
        if self.frozen:
            self.table.advance(self.clock_ms)
            self._publish()
        super().thaw()
        self._promises.note_upstream_thaw(self)

    def set_faults(self, faults: Faults) -> None:
        """Put faults in force."""
        self.table.faults = faults

    def serve(self, request: object, respond: Respond) -> None:
        """Handle a request of a leader."""
        self.table.advance(self.clock_ms)
        reply = self._answer(request)
        if isinstance(request, protocol.ReserveRequest) and reply.reserved:
            self._promises.note_reserved(self, request)
        self._publish()
        respond(reply)

    def _answer(self, request: object) -> object:
        table, clock_ms = self.table, self.clock_ms
        match request:
            case protocol.RenewRequest():
                reply = table.renew(request, clock_ms)
                if isinstance(reply, protocol.RenewReply):
                    self._renewed_at_s = self.world.now_s
                return reply
            case protocol.ReserveRequest():
                return table.reserve(request, clock_ms)
            case protocol.StartRequest():
                return table.start(request, clock_ms)
            case protocol.StopRequest():
                return table.stop(request, clock_ms)
            case protocol.CheckpointRequest():
                return table.checkpoint(request, clock_ms)
            case protocol.ThrottleRequest():
                return table.throttle(request, clock_ms)
        return table.probe(request.term)

    def _publish(self) -> None:
        for event in self.table.take_events():
            self._promises.note_member_event(self, event)
        for report in self.table.take_reports():
            self._send_report(report)
        self._plan_poke()

    def _plan_poke(self) -> None:
        due_ms = self.table.next_deadline_ms()
        if due_ms == math.inf:
            return
        # One millisecond later, as the clock is read in whole milliseconds.
        due_s = self.clock.find_real_s((due_ms + 1) / 1000)
        due_s = max(due_s, self.world.now_s + 0.001)
        if self._poke_at_s <= due_s and self._poke_at_s > self.world.now_s:
            return
        self._poke_at_s = due_s
        start = self.starts
        self.world.schedule(due_s - self.world.now_s, lambda: self._poke(start))

    def _poke(self, start: int) -> None:
        if self.is_up and self.starts == start and not self.frozen:
            self.table.advance(self.clock_ms)
            self._publish()

    def _announce_if_due(self) -> None:
        if self.world.now_s - self._renewed_at_s < ANNOUNCE_AFTER_S:
            return
        announcement = protocol.Announcement(
            self.capacity, ANNOUNCED_ADDRESS, self.table.incarnation
        )
        self._post(announcement, lambda reply: None)

    def _post(self, message: object, finish: Respond) -> None:
        entry = self.world.random.choice(self._entries)
        self.world.exchange(self, entry, message, finish, EXCHANGE_TIMEOUT_S)

    def _send_report(self, report: protocol.TaskReport) -> None:
        fault = ReportFault.from_kind(self.table.faults.reports)
        deliveries = fault.distort(report, self._last_answered)
        if report.answer is not None:
            self._last_answered = report
        resend = ReportDelivery(report, delay_s=RESEND_INTERVAL_S)
        queue = itertools.chain(deliveries, itertools.repeat(resend))
        self._deliver_next(queue, next(queue), self.starts)

    def _deliver_next(self, queue, delivery: ReportDelivery, start: int) -> None:
        status = delivery.report.status

        def finish(reply: object) -> None:
            taken = isinstance(reply, protocol.ReportReply) and reply.acknowledged
            if delivery.genuine and taken:
                key = MemberKey(status.job_id, status.attempt, status.rank)
                self.table.acknowledge(key)
            else:
                self._deliver_next(queue, next(queue), start)

        def send() -> None:
            if self.is_up and self.starts == start:
                self.receive(lambda: self._post(delivery.report, finish))

        self.world.schedule(delivery.delay_s, send)
