"""Guards against fields silently dropped or changed by the JSON encoding."""

import typing

import attrs
import testtools
from returns.pipeline import is_successful

from tanagerpath.codecs import decode_json, encode_json
from tanagerpath.codecs.text import UNION_TAG
from tanagerpath.core.model import AttemptId, JobClass, JobRequest
from tanagerpath.core.protocol.callers import ErrorBody
from tanagerpath.core.protocol.internal import (
    AcceptRequest,
    InternalReply,
    InternalRequest,
    JobQuery,
)
from tanagerpath.core.protocol.upstreams import TaskPhase, TaskReport, TaskStatus


class TestRoundTrip(testtools.TestCase):
    def test_nested_messages_are_decoded_unchanged(self):
        status = TaskStatus("j", AttemptId(3, 4), 0, TaskPhase.FINISHED, 0.5)
        report = TaskReport("u1", status, answer="é", answer_length=2)
        text = encode_json(report)
        self.assertEqual(report, decode_json(text, TaskReport).unwrap())

    def test_union_member_keeps_its_type(self):
        for message in (JobQuery("j"), AcceptRequest(JobRequest("o", "s", "k"))):
            text = encode_json(message, InternalRequest)
            self.assertEqual(message, decode_json(text, InternalRequest).unwrap())

    def test_union_keeps_fields_named_type(self):
        """Guards against a union tag that overwrites the type of an error."""
        refusal = ErrorBody(type="KeyConflict", message="other content", not_run=True)
        text = encode_json(refusal, InternalReply)
        self.assertEqual(refusal, decode_json(text, InternalReply).unwrap())

    def test_no_union_member_has_a_field_named_like_the_tag(self):
        for union in (InternalRequest, InternalReply):
            for member in typing.get_args(union):
                names = [field.name for field in attrs.fields(member)]
                self.assertNotIn(UNION_TAG, names, member)


class TestMalformedText(testtools.TestCase):
    CASES = [
        ('{"organisation":"o","service":"s","key":"k","acelerators":2}', "acelerators"),
        ('{"organisation":"o","service":"s"}', "key"),
        ('{"organisation":"o","service":"s","key":"k","accelerators":"2"}', "int"),
        ('{"organisation":"o","service":"s","key":"k","job_class":"now"}', "now"),
        ("{", "JSON"),
        ("[]", ""),
        ("[" * 100_000, "JSON"),
    ]

    def test_malformed_text_is_rejected_and_the_fault_is_named(self):
        for text, named in self.CASES:
            result = decode_json(text, JobRequest)
            self.assertFalse(is_successful(result), text[:80])
            self.assertIn(named, result.failure().message)

    def test_defaults_apply(self):
        text = '{"organisation":"o","service":"s","key":"k"}'
        job = decode_json(text, JobRequest).unwrap()
        self.assertEqual(JobClass.STANDARD, job.job_class)
