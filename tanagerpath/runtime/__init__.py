"""Tasks, mailboxes, clocks, files and HTTP around the core."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "application": [
            "Application",
        ],
        "clock": [
            "Clock",
            "SystemClock",
        ],
        "logfiles": [
            "set_aside_corrupt",
        ],
        "mailbox": [
            "Mailbox",
            "MailboxFull",
            "Reply",
        ],
        "opening": [
            "DirectoryOpener",
            "OpenedDirectory",
        ],
        "storage": [
            "StorageTask",
        ],
        "stored_state": [
            "CorruptLog",
            "load_state",
        ],
        "tasks": [
            "Task",
        ],
    },
)
