"""Core of a control process, without input or output."""

from tanagerpath.core.control.codec import StateCodec
from tanagerpath.core.control.messages import (
    ControlAction,
    ControlEvent,
    LeadershipTransferRequested,
    RequestArrived,
    SendReply,
)
from tanagerpath.core.control.node import (
    ControlNode,
    ControlNodeConfig,
    SchedulerFactory,
)
from tanagerpath.core.control.replicated import ReplicatedNode

__all__ = [
    "ControlAction",
    "ControlEvent",
    "ControlNode",
    "ControlNodeConfig",
    "LeadershipTransferRequested",
    "ReplicatedNode",
    "RequestArrived",
    "SchedulerFactory",
    "SendReply",
    "StateCodec",
]
