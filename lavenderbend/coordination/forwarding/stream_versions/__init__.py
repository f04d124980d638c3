"""Which software began a stream, and where it may go on."""
