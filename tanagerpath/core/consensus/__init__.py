"""Replicated log with elections, leases, snapshots and membership changes."""
