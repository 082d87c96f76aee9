"""Typed messages between all parts; their encoding is `tanagerpath.codecs`."""
