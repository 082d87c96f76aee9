"""Part of the core: state."""
