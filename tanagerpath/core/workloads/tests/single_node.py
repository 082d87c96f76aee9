"""A workload node without other replicas, in virtual time."""

import random

from tanagerpath.codecs.state import JsonFleetCodec
from tanagerpath.core import consensus
from tanagerpath.core.control import RequestArrived, SendReply
from tanagerpath.core.coordination import CountEvent
from tanagerpath.core.workloads import (
    DeadlinePolicy,
    DeadlineTerms,
    LogDecision,
    WorkloadNode,
    WorkloadNodeConfig,
)


class SingleNode:
    """A node that is the only voter of its group, with a disk that writes at once."""

    def __init__(self):
        config = WorkloadNodeConfig(
            replica=consensus.ReplicaConfig(
                vm_id="c1", address="127.0.0.1:1", vms={"c1": "127.0.0.1:1"}
            )
        )
        replica = consensus.Replica.from_config(
            config.replica, consensus.RestoredState(), random.Random(1)
        )
        self.node = WorkloadNode(
            config,
            replica,
            JsonFleetCodec(),
            lambda: DeadlinePolicy.from_config(DeadlineTerms()),
        )
        self.now_s = 0.0
        self.replies = {}
        self.decisions = []
        self.faults = 0

    def step(self, *events):
        queue = list(events)
        while True:
            actions = self.node.step(queue, self.now_s, self.now_s)
            queue = []
            for action in actions:
                match action:
                    case consensus.PersistState(sequence=sequence):
                        queue.append(consensus.StorageSynced(sequence))
                    case SendReply(token, reply):
                        self.replies[token] = reply
                    case LogDecision():
                        self.decisions.append(action)
                    case CountEvent("decision failed"):
                        self.faults += 1
            if not queue:
                return

    def run(self, duration_s):
        until_s = self.now_s + duration_s
        while self.now_s < until_s:
            self.now_s += 0.05
            self.step()

    def ask(self, token, request):
        self.step(RequestArrived(token, request))
        self.run(0.2)
        return self.replies.get(token)
