"""Part of the core: coordination."""
