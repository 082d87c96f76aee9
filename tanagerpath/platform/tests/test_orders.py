"""Guards against orders and replies that break the worker interface."""

import json

import testtools
from returns.pipeline import is_successful

from tanagerpath.core.coordination import CallUpstream
from tanagerpath.core.workloads import orders
from tanagerpath.core.workloads.commands import RunOutcome
from tanagerpath.core.workloads.orders import OrderRefused, Refusal
from tanagerpath.core.workloads.specs import TaskId
from tanagerpath.platform.orders import WorkerCodec
from tanagerpath.platform.workloads import MAX_CACHED_CHARS
from tanagerpath.runtime.client import HttpReply

TASK = TaskId("5c0e7a21d94b36f8", 0, 1, 17)
NAME = "5c0e7a21d94b36f8.0.1.17"
START = orders.StartRequest(
    task=TASK, run=2, payload="text", lease_until_ms=486000, fencing_token=7
)
STOP = orders.StopRequest(task=TASK, run=2, fencing_token=7)
HOLD = orders.HoldRequest(
    fencing_token=7, end_cursor=57, lease_until_ms=486000, wait_ms=1000
)
ADVICE = orders.AdviceRequest(
    workload_id="5c0e7a21d94b36f8", occurrence=0, step=1, upstream_ids=("i-1",)
)
VM_LIST = orders.VmListRequest()
UPKEEP = orders.UpkeepRequest(vm_id="m-1", wave=3, holder="leader-7", fencing_token=7)


def _call(request):
    return CallUpstream("i-7f3a91c2", "i-7f3a91c2@1", "10.0.0.9:8080", request)


def _decode(request, status, body):
    text = body if isinstance(body, bytes) else json.dumps(body).encode()
    return WorkerCodec().decode(_call(request), HttpReply(status, text))


class TestEncoding(testtools.TestCase):
    def test_orders_carry_the_platforms_fields(self):
        cases = [
            (
                START,
                "/run-start",
                {
                    "task": NAME,
                    "run_id": 2,
                    "spec": "text",
                    "deadline_ms": 486000,
                    "fencing_token": 7,
                },
            ),
            (STOP, "/run-stop", {"task": NAME, "run_id": 2, "fencing_token": 7}),
            (
                HOLD,
                "/hold",
                {
                    "fencing_token": 7,
                    "ack_cursor": 57,
                    "deadline_ms": 486000,
                    "wait_ms": 1000,
                },
            ),
            (
                orders.PaceRequest(task=TASK, run=2, percent=50, fencing_token=7),
                "/pace",
                {"task": NAME, "run_id": 2, "percent": 50, "fencing_token": 7},
            ),
            (ADVICE, "/advise", {"step": "5c0e7a21d94b36f8.0.1", "workers": ["i-1"]}),
            (UPKEEP, "/machine-upkeep", {"machine": "m-1", "wave": 3}),
        ]
        for request, path, body in cases:
            sent = WorkerCodec().encode(_call(request))
            self.assertEqual((path, body), (sent.path, json.loads(sent.body)))

    def test_order_names_its_upstream(self):
        sent = WorkerCodec().encode(_call(START))
        self.assertIn((b"x-expected-instance", b"i-7f3a91c2"), sent.headers)

    def test_upkeep_names_its_holder_and_fencing_token(self):
        headers = dict(WorkerCodec().encode(_call(UPKEEP)).headers)
        self.assertEqual(b"leader-7", headers[b"x-duty-holder"])
        self.assertEqual(b"7", headers[b"x-fencing-token"])

    def test_pages_of_the_list_of_vms_are_asked_for_by_their_token(self):
        first = WorkerCodec().encode(_call(VM_LIST))
        later = WorkerCodec().encode(_call(orders.VmListRequest(page_token="a&b")))
        self.assertEqual(("GET", "/machines"), (first.method, first.path))
        self.assertEqual("/machines?page_token=a%26b", later.path)


class TestAnswers(testtools.TestCase):
    def test_refusals_by_status_and_reason(self):
        cases = [
            (START, 409, {"clock_ms": 5, "reason": "fence"}, Refusal.FENCED),
            (START, 409, {"clock_ms": 5, "reason": "old"}, Refusal.SUPERSEDED),
            (START, 409, {"clock_ms": 5, "reason": "late"}, Refusal.EXPIRED),
            (START, 409, {"clock_ms": 5, "reason": "room"}, Refusal.NO_ROOM),
            (START, 409, {"clock_ms": 5, "reason": "ticket"}, Refusal.NO_TICKET),
            (START, 409, {"clock_ms": 5, "reason": "new"}, Refusal.MALFORMED),
            (START, 400, b"", Refusal.MALFORMED),
            (START, 429, b"", Refusal.UNHEALTHY),
            (START, 503, b"", Refusal.UNHEALTHY),
            (UPKEEP, 409, {"reason": "busy"}, Refusal.BUSY),
            (UPKEEP, 409, {"reason": "wave"}, Refusal.WRONG_WAVE),
            (UPKEEP, 409, {"reason": "fence"}, Refusal.FENCED),
        ]
        for request, status, body, expected in cases:
            answer = _decode(request, status, body).unwrap()
            self.assertEqual(expected, answer.refusal)
            self.assertIsInstance(answer, OrderRefused)

    def test_lists_are_read_completely(self):
        body = {
            "clock_ms": 482113,
            "born": 99,
            "running": [[NAME, 2, "00bb", 41], [NAME, 3, "", 7, 120]],
            "ended_runs": [[58, NAME, 1, "done", ""], [59, NAME, 2, "alone", "x"]],
        }
        reply = _decode(HOLD, 200, body).unwrap()
        self.assertEqual((482113, 99), (reply.clock_ms, reply.born_unix_ms))
        self.assertEqual(
            [(2, "00bb", 41, 0.0), (3, "", 7, 120.0)],
            [(one.run, one.checkpoint, one.percent, one.load) for one in reply.running],
        )
        self.assertEqual(
            [(58, RunOutcome.DONE, ""), (59, RunOutcome.ALONE, "x")],
            [(one.number, one.outcome, one.checkpoint) for one in reply.ended],
        )

    def test_list_with_as_many_ends_as_a_worker_lists_may_lack_others(self):
        ends = [[number, NAME, number, "stopped", ""] for number in range(1, 501)]
        body = {"clock_ms": 1, "running": [], "ended_runs": ends}
        self.assertFalse(_decode(HOLD, 200, body).unwrap().is_whole)
        body["ended_runs"] = ends[1:]
        self.assertTrue(_decode(HOLD, 200, body).unwrap().is_whole)

    def test_unusable_reply_is_a_typed_failure(self):
        valid = {"clock_ms": 1, "running": [], "ended_runs": []}
        cases = [
            (HOLD, 421, {"clock_ms": 1}, "WrongIncarnation"),
            (HOLD, 200, b"{", "MalformedMessage"),
            (HOLD, 200, b"[]", "MalformedMessage"),
            (HOLD, 200, {"clock_ms": 1}, "MalformedMessage"),
            (HOLD, 200, valid | {"clock_ms": True}, "MalformedMessage"),
            (HOLD, 200, valid | {"running": [["x", 1, "", 0]]}, "MalformedMessage"),
            (HOLD, 200, valid | {"running": [[NAME]]}, "MalformedMessage"),
            (
                HOLD,
                200,
                valid | {"ended_runs": [[1, NAME, 1, "vanished", ""]]},
                "MalformedMessage",
            ),
            (START, 500, b"", "UnexpectedStatus"),
            (ADVICE, 429, b"", "UnexpectedStatus"),
            (VM_LIST, 429, b"", "UnexpectedStatus"),
            (VM_LIST, 409, b"{}", "UnexpectedStatus"),
            (VM_LIST, 200, {}, "MalformedMessage"),
            (VM_LIST, 200, {"machines": [], "next_token": 5}, "MalformedMessage"),
            (ADVICE, 200, {"allowed": [["i-1"]]}, "MalformedMessage"),
        ]
        for request, status, body, expected in cases:
            result = _decode(request, status, body)
            self.assertFalse(is_successful(result), (status, body))
            self.assertEqual(expected, result.failure().type_name)

    def test_task_is_parsed_once_for_all_lists(self):
        # Each list of an upstream with many runs was parsed anew.
        names = (NAME, f"{'w' * MAX_CACHED_CHARS}.0.1.17")
        tasks = []
        for name in names:
            body = {"clock_ms": 1, "running": [[name, 2, "", 5]], "ended_runs": []}
            replies = [_decode(HOLD, 200, body).unwrap() for _ in range(2)]
            tasks.append([reply.running[0].task for reply in replies])
            self.assertEqual(*tasks[-1])
        self.assertIs(*tasks[0])
        # A long name would take memory for good.
        self.assertIsNot(*tasks[1])

    def test_advice_lists_the_tickets(self):
        reply = _decode(ADVICE, 200, {"allowed": [["i-1", "t1"]]}).unwrap()
        self.assertEqual((orders.Ticket("i-1", "t1"),), reply.tickets)

    def test_list_of_vms_tells_which_are_up_and_whether_it_is_whole(self):
        vm = {"machine": "m-1", "state": "up", "id": "i-1"}
        reply = _decode(VM_LIST, 200, {"machines": [vm], "next_token": None}).unwrap()
        status = orders.VmStatus(vm_id="m-1", upstream_id="i-1", is_up=True)
        self.assertEqual(orders.VmListReply(vms=(status,)), reply)
        down = {"machine": "m-2", "state": "down", "id": None}
        odd = [{"machine": 3}, {"machine": "m-3", "state": "gone"}]
        body = {"machines": [down, *odd], "next_token": "t"}
        status = orders.VmStatus(vm_id="m-2", upstream_id="", is_up=False)
        expected = orders.VmListReply(vms=(status,), next_token="t", is_whole=False)
        self.assertEqual(expected, _decode(VM_LIST, 200, body).unwrap())
