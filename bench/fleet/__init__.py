"""What routers of a large fleet believe, measured on the virtual clock."""
