"""Stand-in upstreams, load tool, silent proxy, demo and fault drill."""
