"""Part of the core: admission."""
