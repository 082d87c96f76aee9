"""Guards against messages that act on whatever is there now.

A withdrawal names an identity and no incarnation. One that a frozen process carried
out late ended the runs of a later incarnation, which went on while they were started
again elsewhere. The rig raises if a task runs twice.
"""

import attrs
import testtools

from tanagerpath.codecs.state import JsonFleetCodec
from tanagerpath.core.workloads import FleetState
from tanagerpath.core.workloads.commands import WithdrawUpstream
from tanagerpath.core.workloads.requests import UpstreamReport, WithdrawalReport
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec
from tanagerpath.core.workloads.tests.rig import Rig
from tanagerpath.core.workloads.withdrawals import LATE_HEARTBEAT_S

SMALL = Resources(8_000, 16_000, 1)
STEP = StepSpec(count=3, needs=SMALL, declared_run_s=6.0)
LEASE_S = 10.5


def _withdraw(rig, name):
    for command in rig.dispatcher.registry.handle_withdrawal(WithdrawalReport(name)):
        rig.apply(command)


def _drain(rig, name, sequence=1_000):
    record = attrs.evolve(rig.upstreams[name].record, draining=True)
    rig.report(record, sequence=sequence, remaining_s=2.0)


def _end(rig, name):
    upstream = rig.upstreams[name]
    upstream.runs.clear()
    upstream.unreachable = True


def _replace(rig, name):
    """Let an upstream drain, end, and start again under its identity."""
    _drain(rig, name)
    rig.run(2.0)
    _end(rig, name)
    rig.run(0.5)
    rig.restart_upstream(name)
    rig.run(0.5)


class TestWithdrawals(testtools.TestCase):
    def test_late_withdrawal_leaves_a_later_incarnation_alone(self):
        rig = Rig(upstreams=1)
        rig.run(0.5)
        _replace(rig, "u0")
        rig.submit("w", STEP, work_s=6.0)
        rig.run(1.0)
        self.assertEqual(3, len(rig.upstreams["u0"].runs))
        rig.add_upstream("u1")
        _withdraw(rig, "u0")
        rig.run(8.0)
        self.assertEqual("completed", rig.find_state("w"))
        self.assertEqual(3, len(rig.starts))
        self.assertTrue(rig.dispatcher.context.sessions["u0"].is_usable)

    def test_late_withdrawal_leaves_the_runs_of_a_draining_incarnation_alone(self):
        rig = Rig(upstreams=1)
        rig.run(0.5)
        _replace(rig, "u0")
        rig.submit("w", STEP, work_s=6.0)
        rig.run(2.0)
        record = attrs.evolve(rig.upstreams["u0"].record, draining=True)
        rig.report(record, sequence=2_000, remaining_s=20.0)
        rig.add_upstream("u1")
        _withdraw(rig, "u0")
        rig.run(8.0)
        self.assertEqual("completed", rig.find_state("w"))
        self.assertEqual(3, len(rig.starts))

    def test_run_on_an_upstream_that_withdraws_early_is_stopped_when_cancelled(self):
        rig = Rig(upstreams=1)
        rig.submit("w", STEP, work_s=60.0)
        rig.run(1.0)
        record = attrs.evolve(rig.upstreams["u0"].record, draining=True)
        rig.report(record, sequence=2_000, remaining_s=60.0)
        _withdraw(rig, "u0")
        rig.cancel("w")
        rig.run(2.0)
        self.assertEqual({}, rig.upstreams["u0"].runs)

    def test_runs_of_an_upstream_that_has_left_start_elsewhere_at_once(self):
        rig = Rig(upstreams=1)
        rig.submit("w", STEP, work_s=6.0)
        rig.run(1.0)
        record = attrs.evolve(rig.upstreams["u0"].record, draining=True)
        rig.report(record, sequence=2_000, remaining_s=10.0)
        rig.run(1.0)
        _withdraw(rig, "u0")
        _end(rig, "u0")
        rig.add_upstream("u1")
        rig.run(2.0)
        self.assertEqual(6, len(rig.starts))

    def test_runs_of_a_lost_upstream_start_elsewhere_after_a_doubted_withdrawal(self):
        """It has not announced its end before, so that only its lease proves it."""
        rig = Rig(upstreams=1)
        rig.submit("w", STEP, work_s=6.0)
        rig.run(1.0)
        _withdraw(rig, "u0")
        _end(rig, "u0")
        rig.add_upstream("u1")
        rig.run(LEASE_S + 1.0)
        self.assertEqual(6, len(rig.starts))

    def test_doubted_withdrawal_is_decided_by_the_list_of_vms(self):
        terms = attrs.evolve(Rig().terms, platform_address="10.1.1.1:80")
        rig = Rig(upstreams=1, terms=terms)
        rig.submit("w", STEP, work_s=6.0)
        rig.run(1.0)
        _withdraw(rig, "u0")
        _end(rig, "u0")
        rig.vms_down.add("u0")
        rig.add_upstream("u1")
        rig.run(4.0)
        self.assertEqual(6, len(rig.starts))


class TestReports(testtools.TestCase):
    def test_late_heartbeat_does_not_undo_draining_under_a_new_leader(self):
        """Sequence numbers are not in the log, so a new leader does not know them."""
        rig = Rig(upstreams=1)
        rig.run(0.5)
        _drain(rig, "u0")
        rig.start_term(2)
        rig.report(rig.upstreams["u0"].record, sequence=3)
        self.assertTrue(rig.state.upstreams["u0"].draining)
        rig.submit("w", STEP)
        rig.run(2.0)
        self.assertEqual([], rig.starts)

    def test_late_heartbeat_brings_no_upstream_that_has_left_back_into_use(self):
        """A new leader used to register it again, as it knew of no withdrawal."""
        rig = Rig(upstreams=1)
        rig.run(0.5)
        _drain(rig, "u0")
        _withdraw(rig, "u0")
        _end(rig, "u0")
        rig.run(1.0)
        rig.start_term(2)
        rig.report(rig.upstreams["u0"].record, sequence=3)
        self.assertNotIn("u0", rig.state.upstreams)
        rig.submit("w", STEP, work_s=1.0)
        rig.run(2.0)
        self.assertEqual([], rig.starts)
        self.assertEqual("queued", rig.find_state("w"))
        rig.add_upstream("u1")
        rig.run(3.0)
        self.assertEqual("completed", rig.find_state("w"))

    def test_report_with_the_address_of_another_upstream_ends_none_of_its_runs(self):
        rig = Rig(upstreams=1)
        rig.submit("w", STEP, work_s=6.0)
        rig.run(1.0)
        victim = rig.upstreams["u0"].record
        odd = attrs.evolve(
            victim,
            upstream_id="odd",
            incarnation="odd@9",
            born_unix_ms=9,
            pool="another",
        )
        rig.address_owners[victim.address] = "u0"
        rig.report(odd)
        rig.add_upstream("u1")
        rig.run(8.0)
        self.assertEqual("completed", rig.find_state("w"))
        self.assertEqual(3, len(rig.starts))
        self.assertNotIn("odd", rig.state.upstreams)

    def test_runs_start_elsewhere_once_another_upstream_replies_at_an_address(self):
        rig = Rig(upstreams=1)
        rig.submit("w", STEP, work_s=6.0)
        rig.run(1.0)
        old = rig.upstreams["u0"].record
        _end(rig, "u0")
        rig.address_owners[old.address] = "u1"
        upstream = rig.add_upstream("u1")
        upstream.record = attrs.evolve(
            upstream.record, address=old.address, born_unix_ms=9, incarnation="u1@9"
        )
        rig.report(upstream.record)
        rig.run(2.0)
        self.assertEqual(6, len(rig.starts))
        self.assertNotIn("u0", rig.state.upstreams)

    def test_report_with_another_address_does_not_move_a_known_incarnation(self):
        """Orders to the other address are refused, which would end its runs here."""
        rig = Rig(upstreams=2)
        rig.submit("w", STEP, work_s=6.0)
        rig.run(1.0)
        name = next(name for name, one in rig.upstreams.items() if one.runs)
        other = next(one for one in rig.upstreams if one != name)
        record = rig.upstreams[name].record
        address = rig.upstreams[other].record.address
        rig.address_owners[address] = other
        rig.report(attrs.evolve(record, address=address), sequence=2_000)
        rig.run(8.0)
        self.assertEqual("completed", rig.find_state("w"))
        self.assertEqual(3, len(rig.starts))


class TestLateHeartbeats(testtools.TestCase):
    """Guards against upstreams that have left and are used again by a later leader."""

    def _withdraw(self):
        """Return a rig without the upstream u1, and the last record of u1."""
        rig = Rig(upstreams=2)
        rig.run(0.5)
        record = rig.upstreams["u1"].record
        _drain(rig, "u1")
        rig.run(1.0)
        _withdraw(rig, "u1")
        _end(rig, "u1")
        rig.run(0.5)
        self.assertNotIn("u1", rig.state.upstreams)
        return rig, record

    def _restore(self, rig):
        codec = JsonFleetCodec()
        text = codec.encode_snapshot(rig.state.make_snapshot())
        rig.state = FleetState.from_snapshot(codec.decode_snapshot(text))
        rig.start_term(rig.term + 1)

    def test_late_heartbeat_of_an_upstream_that_has_left(self):
        cases = {
            "same leader": lambda rig: None,
            "next leader": lambda rig: rig.start_term(rig.term + 1),
            "snapshot": self._restore,
            "longest freeze": lambda rig: (rig.start_term(rig.term + 1), rig.run(8.0)),
        }
        for name, pass_on in cases.items():
            rig, record = self._withdraw()
            pass_on(rig)
            self.assertEqual([], rig.report(record, sequence=5), name)
            self.assertNotIn("u1", rig.state.upstreams, name)

    def test_next_incarnation_is_registered(self):
        rig, _ = self._withdraw()
        rig.start_term(rig.term + 1)
        rig.restart_upstream("u1")
        self.assertIn("u1", rig.state.upstreams)

    def test_memory_of_withdrawals_is_bounded_in_time(self):
        rig, _ = self._withdraw()
        self.assertEqual(1, len(rig.state.withdrawals))
        rig.now_s += LATE_HEARTBEAT_S
        _drain(rig, "u0", sequence=2_000)
        _withdraw(rig, "u0")
        self.assertEqual(1, len(rig.state.withdrawals))

    def test_entry_of_an_earlier_build_remembers_nothing(self):
        codec = JsonFleetCodec()
        text = codec.encode_command(WithdrawUpstream("u0", "u0@1"))
        earlier = text.replace(',"if_final":null', "")
        self.assertNotEqual(text, earlier)
        rig = Rig(upstreams=1)
        rig.apply(codec.decode_command(earlier))
        self.assertEqual({}, rig.state.upstreams)
        self.assertEqual(0, len(rig.state.withdrawals))


class TestOrderOfReports(testtools.TestCase):
    """Guards against a late report that replaces a later incarnation in the log."""

    def _propose_both(self):
        """Return a rig, and the commands for a new incarnation and a late report."""
        rig = Rig(upstreams=1)
        rig.run(0.5)
        earlier = rig.upstreams["u0"].record
        rig.restart_upstream("u0", reports=False)
        registry = rig.dispatcher.registry
        later = UpstreamReport(rig.upstreams["u0"].record, sequence=1)
        late = UpstreamReport(attrs.evolve(earlier, draining=True), sequence=50)
        commands = [*registry.handle_report(later), *registry.handle_report(late)]
        self.assertEqual(2, len(commands))
        return rig, commands

    def test_late_report_that_is_proposed_after_a_new_incarnation(self):
        rig, commands = self._propose_both()
        for command in commands:
            rig.apply(command)
        self.assertEqual("u0@2", rig.state.upstreams["u0"].incarnation)
        rig.submit("w", STEP, work_s=1.0)
        rig.run(3.0)
        self.assertEqual("completed", rig.find_state("w"))

    def test_entries_of_an_earlier_build_are_applied_as_that_build_did(self):
        rig, commands = self._propose_both()
        codec = JsonFleetCodec()
        for command in commands:
            text = codec.encode_command(command)
            earlier = text.replace(',"checks_birth":true', "")
            self.assertNotEqual(text, earlier)
            rig.apply(codec.decode_command(earlier))
        self.assertEqual("u0@1", rig.state.upstreams["u0"].incarnation)
