"""Core of a control process, without input or output."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "codec": [
            "StateCodec",
        ],
        "messages": [
            "ControlAction",
            "ControlEvent",
            "LeaderLate",
            "LeadershipTransferRequested",
            "RequestArrived",
            "SendReply",
        ],
        "node": [
            "ControlNode",
            "ControlNodeConfig",
            "SchedulerFactory",
        ],
        "replicated": [
            "ReplicatedNode",
        ],
    },
)
