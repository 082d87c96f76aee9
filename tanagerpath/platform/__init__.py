"""Adapter between the product and the users' platform; it only translates.

The names of the platform's wire stand in this package alone. What arrives is decoded
once, into the types of `tanagerpath.core.workloads`.
"""
