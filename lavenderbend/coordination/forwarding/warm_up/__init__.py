"""Upstreams that have just started, and the rate of requests to them."""
