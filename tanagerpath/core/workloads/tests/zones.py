"""Rigs with two availability zones, one of which may be evacuated."""

import attrs

from tanagerpath.core.workloads import DispatchTerms
from tanagerpath.core.workloads.commands import SetEvacuation
from tanagerpath.core.workloads.tests.rig import Rig
from tanagerpath.core.workloads.tests.silence import SlowLogRig

EVACUATION_S = 5.0
TERMS = DispatchTerms(evacuation_s=EVACUATION_S)


class ZoneMixin:
    """Puts upstreams into the zones a and b in turn, and checks each start."""

    evacuated_at_s = None

    def __init__(self, *arguments, **fields):
        self.start_zones = set()
        super().__init__(*arguments, **fields)

    def add_upstream(self, name, rack="r0", speed=1.0):
        zone = "ab"[len(self.upstreams) % 2]
        fake = super().add_upstream(name, f"{zone}-{rack}", speed)
        fake.record = attrs.evolve(fake.record, availability_zone=zone)
        self.register(fake.record)
        return fake

    def evacuate(self, zone, is_evacuated=True):
        revision = self.state.find_evacuation(zone).revision
        self.evacuated_at_s = self.now_s if is_evacuated else None
        return self.apply(SetEvacuation(zone, is_evacuated, revision))

    def record_start(self, upstream, request):
        super().record_start(upstream, request)
        zone = upstream.record.availability_zone
        self.start_zones.add(zone)
        if not self.state.is_evacuated(zone):
            return
        if self.now_s > self.evacuated_at_s + EVACUATION_S:
            self.violations.append(f"{request.task} started in the evacuated zone")

    def list_zones(self, workload_id):
        """Return the zones in which a workload runs."""
        return {
            upstream.record.availability_zone
            for upstream in self.upstreams.values()
            for run in upstream.runs.values()
            if run.task.workload_id == workload_id
        }

    def list_phases(self, zone):
        """Return the phases of all recorded runs in a zone."""
        return [
            view.phase
            for session in self.dispatcher.context.sessions.values()
            for view in session.runs.values()
            if session.record.availability_zone == zone
        ]


class ZoneRig(ZoneMixin, Rig):
    pass


class SlowZoneRig(ZoneMixin, SlowLogRig):
    pass
