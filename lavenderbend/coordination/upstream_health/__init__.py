"""Which upstreams are left out for how they answer."""
