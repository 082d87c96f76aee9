"""Tasks, mailboxes, clocks, files and HTTP around the core."""

from tanagerpath.runtime.application import Application
from tanagerpath.runtime.clock import Clock, SystemClock
from tanagerpath.runtime.logfiles import set_aside_corrupt
from tanagerpath.runtime.mailbox import Mailbox, MailboxFull, Reply
from tanagerpath.runtime.opening import DirectoryOpener, OpenedDirectory
from tanagerpath.runtime.storage import StorageTask
from tanagerpath.runtime.stored_state import CorruptLog, load_state
from tanagerpath.runtime.tasks import Task

__all__ = [
    "Application",
    "Clock",
    "CorruptLog",
    "DirectoryOpener",
    "Mailbox",
    "MailboxFull",
    "OpenedDirectory",
    "Reply",
    "StorageTask",
    "SystemClock",
    "Task",
    "load_state",
    "set_aside_corrupt",
]
