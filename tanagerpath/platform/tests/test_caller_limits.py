"""Guards against limits of a configuration that are lost or misread on their way."""

import json

import testtools

from tanagerpath.codecs import decode_json, encode_json
from tanagerpath.codecs.text import MAX_CONTAINERS, MAX_VALUES, parse_json
from tanagerpath.core.workloads.configuration import CallerLimits, Configuration
from tanagerpath.core.workloads.requests import LeaderReply
from tanagerpath.core.workloads.specs import MAX_STEPS
from tanagerpath.errors import FailureError
from tanagerpath.platform.configuration import read_configuration
from tanagerpath.platform.fields import read_object
from tanagerpath.platform.tests.test_adapters import CONFIG, JOB
from tanagerpath.platform.workloads import read_workload

LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 262_144,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}


def _read(limits):
    body = json.dumps(CONFIG | {"limits": limits}).encode()
    return read_configuration(read_object(body), body)


class TestCallerLimits(testtools.TestCase):
    def test_limits_are_read_in_their_units(self):
        expected = CallerLimits(
            max_header_bytes=16_384,
            max_body_bytes=262_144,
            header_timeout_s=3.0,
            idle_timeout_s=15.0,
        )
        self.assertEqual(expected, _read(LIMITS).caller_limits)

    def test_absent_limits_and_zeros_leave_the_defaults(self):
        zeros = dict.fromkeys(LIMITS, 0)
        for limits in ({}, zeros, {"other": 1}, dict.fromkeys(LIMITS)):
            self.assertEqual(CallerLimits(), _read(limits).caller_limits)
        self.assertIsNone(_read(None).caller_limits)

    def test_negative_limits_are_refused(self):
        for name in LIMITS:
            self.assertRaises(FailureError, _read, {name: -1})

    def test_limits_pass_the_log_and_the_replies_to_probes(self):
        configuration = _read(LIMITS)
        stored = decode_json(encode_json(configuration), Configuration).unwrap()
        self.assertEqual(configuration, stored)
        reply = LeaderReply("a", ("a",), configuration.caller_limits)
        self.assertEqual(reply, decode_json(encode_json(reply), LeaderReply).unwrap())

    def test_configurations_and_replies_without_limits_still_load(self):
        """Guards against logs and snapshots of earlier versions that do not load."""
        text = json.dumps({"version": 1, "document": "{}"})
        stored = decode_json(text, Configuration).unwrap()
        self.assertIsNone(stored.caller_limits)
        text = json.dumps({"leader_address": "a", "control_addresses": ["a"]})
        self.assertIsNone(decode_json(text, LeaderReply).unwrap().caller_limits)


class TestCostlyTexts(testtools.TestCase):
    """Guards against texts whose values take many times their size."""

    def test_texts_of_many_values_are_refused(self):
        lists = "[" + "[]," * MAX_CONTAINERS + "[]]"
        values = "[" + "1," * (MAX_VALUES + 1) + "1]"
        for text in (lists, values, "[" * 90_000):
            self.assertRaises(ValueError, parse_json, text)
            self.assertRaises(FailureError, read_object, text.encode())

    def test_a_configuration_of_4_mib_is_read(self):
        queue = CONFIG["routes"][0]
        routes = [
            queue | {"name": f"r{number}", "path_prefix": f"/q{number}/"}
            for number in range(17_000)
        ]
        body = json.dumps(CONFIG | {"routes": routes}).encode()
        self.assertGreater(len(body), 4_000_000)
        configuration = read_configuration(read_object(body), body)
        self.assertEqual(17_000, len(configuration.queues))

    def test_workloads_with_too_many_steps_are_refused(self):
        steps = JOB["steps"] * (MAX_STEPS + 1)
        body = json.dumps(JOB | {"steps": steps}).encode()
        self.assertRaises(FailureError, read_workload, "0" * 16, read_object(body))
        body = json.dumps(JOB | {"steps": steps[1:]}).encode()
        spec = read_workload("0" * 16, read_object(body))
        self.assertEqual(MAX_STEPS, len(spec.steps))
