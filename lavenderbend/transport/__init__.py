"""Network connections to callers, operators, peers, upstreams and stores."""
