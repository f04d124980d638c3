"""Rule-based HTTP request forwarding, and the state that routers share."""
