"""Tasks, mailboxes, clocks, files and HTTP round the core."""

from tanagerpath.runtime.application import Application
from tanagerpath.runtime.clock import Clock, SystemClock
from tanagerpath.runtime.mailbox import Mailbox, MailboxFull, Reply
from tanagerpath.runtime.tasks import Task

__all__ = [
    "Application",
    "Clock",
    "Mailbox",
    "MailboxFull",
    "Reply",
    "SystemClock",
    "Task",
]
