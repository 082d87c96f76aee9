"""Request bodies of jobs and documents for the tests of the entry process."""

import time


def make_job(key, **changes):
    job = {"organisation": "depot", "service": "sort", "key": key}
    return {"job": job | changes}


def make_document(service="sort", revision=1, **changes):
    terms = [
        {"name": "depot", "quota_accelerators": 32},
        {"name": "crews", "quota_accelerators": 8},
    ]
    document = {"service": service, "revision": revision, "owner": "depot-tools"}
    document |= {"organisations": terms, "max_payload_bytes": 1000}
    return {"document": document | changes}


def document_path(service):
    return f"/v1/services/{service}/document"


def submit_once_ready(system, body, limit_s=5.0):
    """Retry a submission until the entry knows the document and accepts the job."""
    until_s = time.monotonic() + limit_s
    while True:
        reply = system.ask("POST", "/v1/jobs", body)
        if reply[0] == 202:
            return
        assert time.monotonic() < until_s, reply
        time.sleep(0.01)
