"""The processes, thin over the library."""
