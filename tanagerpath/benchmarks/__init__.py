"""Replays, checks and measurements."""
