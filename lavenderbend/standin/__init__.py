"""Small stand-ins for the systems a router meets."""
