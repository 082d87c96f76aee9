"""Guards against upstream identities that the product uses for receivers of its own.

Any identity may come with a heartbeat. Replies were told apart by the identity of their
sender, so that a failed renewal of an upstream called "platform" reached the upkeep of
VMs, which ended every control process.
"""

import attrs
import testtools

from tanagerpath.core.workloads.commands import RegisterUpstream, UpstreamRecord
from tanagerpath.core.workloads.requests import UpstreamReport
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec
from tanagerpath.core.workloads.tests.rig import Rig

SMALL = Resources(8_000, 16_000, 1)
STEP = StepSpec(count=4, needs=SMALL, declared_run_s=1.0)
# Names that the product gives or gave to receivers of its own.
IDENTITIES = ("platform", "advice", "platform vm list", "")


def _make_odd_report(upstream_id):
    record = UpstreamRecord(
        upstream_id=upstream_id,
        incarnation=f"{upstream_id}@0",
        pool="another",
        address="10.9.9.9:80",
    )
    return UpstreamReport(record, sequence=1)


class TestOddIdentities(testtools.TestCase):
    def test_unreachable_upstream_with_any_identity_leaves_the_leader_working(self):
        for upstream_id in IDENTITIES:
            rig = Rig(upstreams=2)
            rig.report(_make_odd_report(upstream_id).record)
            rig.submit("w", STEP)
            rig.run(6.0)
            self.assertEqual("completed", rig.find_state("w"), upstream_id)

    def test_upstream_that_replies_under_any_identity_is_used(self):
        for upstream_id in IDENTITIES:
            rig = Rig(upstreams=0)
            rig.add_upstream(upstream_id)
            rig.submit("w", STEP)
            rig.run(6.0)
            self.assertEqual("completed", rig.find_state("w"), upstream_id)

    def test_advice_is_taken_while_an_upstream_has_its_name(self):
        rig = Rig(upstreams=2)
        rig.report(_make_odd_report("advice").record)
        rig.allowed_upstreams = {"u1"}
        rig.submit("w", STEP, queue="advised")
        rig.run(6.0)
        self.assertEqual("completed", rig.find_state("w"))

    def test_identity_of_a_departed_session_may_be_reported(self):
        """Sessions of replaced incarnations were kept under "ID/incarnation"."""
        rig = Rig(upstreams=2)
        rig.submit("w", attrs.evolve(STEP, count=16), work_s=3.0)
        rig.run(0.5)
        rig.restart_upstream("u0")
        clash = attrs.evolve(
            rig.upstreams["u0"].record,
            upstream_id="u0/u0@1",
            incarnation="u0/u0@1@7",
            address="10.9.9.9:80",
        )
        rig.report(clash)
        rig.run(20.0)
        self.assertEqual("completed", rig.find_state("w"))

    def test_new_leader_keeps_an_upstream_whose_identity_names_a_departed_one(self):
        rig = Rig(upstreams=2)
        rig.submit("w", attrs.evolve(STEP, count=16), work_s=3.0)
        rig.run(0.5)
        clash = attrs.evolve(
            rig.upstreams["u0"].record,
            upstream_id="u0/u0@1",
            incarnation="u0/u0@1@7",
            address="10.9.9.9:80",
        )
        rig.apply(RegisterUpstream(clash))
        rig.restart_upstream("u0")
        rig.start_term(2)
        sessions = rig.dispatcher.context.sessions
        self.assertEqual(clash, sessions["u0/u0@1"].record)
        rig.run(20.0)
        self.assertEqual("completed", rig.find_state("w"))
