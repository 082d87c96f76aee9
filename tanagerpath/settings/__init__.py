"""Settings of all processes, read from flags and environment variables."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "client": [
            "ClientSettings",
        ],
        "control": [
            "ControlSettings",
        ],
        "declaration": [
            "Setting",
            "list_settings",
        ],
        "entry": [
            "EntrySettings",
        ],
        "failures": [
            "InvalidSetting",
            "MissingSetting",
        ],
        "sources": [
            "add_flags",
        ],
        "values": [
            "ControlAddress",
        ],
        "workloads": [
            "WorkloadControlSettings",
            "WorkloadEntrySettings",
            "WorkloadRelaySettings",
        ],
    },
)
