"""Tasks, mailboxes, clocks, files and HTTP round the core."""

from tanagerpath.runtime.application import Application
from tanagerpath.runtime.clock import Clock, SystemClock
from tanagerpath.runtime.mailbox import Mailbox, MailboxFull, Reply
from tanagerpath.runtime.storage import (
    CorruptLog,
    StorageFailed,
    StorageTask,
    load_state,
    set_aside_corrupt,
)
from tanagerpath.runtime.tasks import Task

__all__ = [
    "Application",
    "Clock",
    "CorruptLog",
    "Mailbox",
    "MailboxFull",
    "Reply",
    "StorageFailed",
    "StorageTask",
    "SystemClock",
    "Task",
    "load_state",
    "set_aside_corrupt",
]
