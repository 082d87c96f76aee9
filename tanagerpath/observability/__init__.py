"""Logs and metrics; each task owns its metrics registry."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "logs": [
            "configure_logs",
            "get_logger",
        ],
        "metrics": [
            "JobTime",
            "MetricsRegistry",
        ],
    },
)
