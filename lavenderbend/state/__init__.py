"""Value classes and in-memory tables; nothing here performs I/O."""
