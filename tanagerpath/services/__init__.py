"""Entry and control processes."""
