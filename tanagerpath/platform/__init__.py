"""Adapter that translates between the users' platform and tanagerpath.

Only this package contains the names of the platform's wire. Incoming messages are
decoded once, into the types of `tanagerpath.core.workloads`.
"""
