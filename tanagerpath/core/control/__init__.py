"""A control process without input or output."""

from tanagerpath.core.control.codec import StateCodec
from tanagerpath.core.control.messages import (
    AnswerRequest,
    ControlAction,
    ControlEvent,
    HandOverRequested,
    RequestArrived,
)
from tanagerpath.core.control.node import (
    ControlNode,
    ControlNodeConfig,
    SchedulerFactory,
)
from tanagerpath.core.control.replicated import ReplicatedNode

__all__ = [
    "AnswerRequest",
    "ControlAction",
    "ControlEvent",
    "ControlNode",
    "ControlNodeConfig",
    "HandOverRequested",
    "ReplicatedNode",
    "RequestArrived",
    "SchedulerFactory",
    "StateCodec",
]
