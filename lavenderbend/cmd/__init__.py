"""The command line, one module for each command."""
