"""Prompt parts that crash the upstreams which answer on them."""
