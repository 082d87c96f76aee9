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

__all__ = [
    "AnswerRequest",
    "ControlAction",
    "ControlEvent",
    "ControlNode",
    "ControlNodeConfig",
    "HandOverRequested",
    "RequestArrived",
    "SchedulerFactory",
    "StateCodec",
]
