"""Typed messages between all components; `tanagerpath.codecs` encodes them."""
