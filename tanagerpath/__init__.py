"""A scheduler for multi-accelerator jobs under organisation guarantees."""

__all__ = ["__version__"]

__version__ = "0.1.0.dev0"
