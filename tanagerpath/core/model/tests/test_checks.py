"""Guards against accepting documents and jobs with an invalid field."""

import attrs
import testtools

from tanagerpath.core.model import (
    GuaranteedShape,
    InvalidDocument,
    InvalidJob,
    JobRequest,
    OrganisationTerms,
    ServiceDocument,
    check_document,
    check_job,
)


def _terms(name="depot", quota=64, *guarantees):
    return OrganisationTerms(name, quota, guarantees)


DOCUMENT = ServiceDocument(
    "sort", 1, "depot-tools", (_terms("depot", 64, GuaranteedShape(16, 2)),)
)
JOB = JobRequest("depot", "sort", "k1")


class TestDocument(testtools.TestCase):
    CASES = [
        ({"service": ""}, "service"),
        ({"service": "Sort"}, "service"),
        ({"service": "s" * 64}, "service"),
        ({"revision": 0}, "revision"),
        ({"revision": 2**60}, "revision"),
        ({"owner": "a b"}, "owner"),
        ({"max_queued_jobs": 0}, "max_queued_jobs"),
        ({"max_payload_bytes": -1}, "max_payload_bytes"),
        ({"max_answer_bytes": 2**40}, "max_answer_bytes"),
        ({"max_attempts": 0}, "max_attempts"),
        ({"organisations": (_terms("x y"),)}, "organisations[0].name"),
        ({"organisations": (_terms(), _terms())}, "organisations[1].name"),
        (
            {"organisations": (_terms("a", -1),)},
            "organisations[0].quota_accelerators",
        ),
        *(
            (
                {"organisations": (_terms("a", 5000, shape),)},
                f"organisations[0].{field}",
            )
            for shape, field in [
                (GuaranteedShape(0), "guarantees[0].accelerators"),
                (GuaranteedShape(1025), "guarantees[0].accelerators"),
                (GuaranteedShape(12), "guarantees[0].accelerators"),
                (GuaranteedShape(8, 0), "guarantees[0].count"),
                (GuaranteedShape(8, 1, "Zone"), "guarantees[0].availability_zone"),
                (GuaranteedShape(1024, 5), "guarantees"),
            ]
        ),
    ]

    def test_violated_rule_names_the_field(self):
        for change, field in self.CASES:
            failure = check_document(attrs.evolve(DOCUMENT, **change)).failure()
            self.assertIsInstance(failure, InvalidDocument)
            self.assertEqual(field, failure.field)
            self.assertTrue(failure.not_run)
            self.assertNotIn("\n", failure.message)

    def test_values_at_the_limit_are_accepted(self):
        for change in (
            {"service": "s" * 63},
            {"organisations": ()},
            {"organisations": (_terms("a", 1024, GuaranteedShape(1024)),)},
            {"organisations": (_terms("a", 0),)},
        ):
            document = attrs.evolve(DOCUMENT, **change)
            self.assertEqual(document, check_document(document).unwrap())


class TestJob(testtools.TestCase):
    CASES = [
        ("organisation", ""),
        ("service", "a/b"),
        ("key", ""),
        ("key", "k" * 129),
        ("key", "\ud800"),
        ("payload", "\udfff"),
        ("accelerators", 0),
        ("accelerators", 1025),
        ("deadline_unix_s", float("nan")),
        ("deadline_unix_s", float("inf")),
        ("expected_run_s", 0.0),
        ("expected_run_s", float("inf")),
        ("cores", -1),
        ("memory_bytes", -1),
    ]

    def test_violated_rule_names_the_field(self):
        for field, value in self.CASES:
            failure = check_job(attrs.evolve(JOB, **{field: value})).failure()
            self.assertIsInstance(failure, InvalidJob)
            self.assertEqual((field, True), (failure.field, failure.not_run))

    def test_values_at_the_limit_are_accepted(self):
        for field, value in [
            ("key", "k" * 128),
            ("accelerators", 1024),
            ("deadline_unix_s", None),
            ("memory_bytes", 0),
        ]:
            job = attrs.evolve(JOB, **{field: value})
            self.assertEqual(job, check_job(job).unwrap())
