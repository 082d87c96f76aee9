"""The processes: entry and control."""
