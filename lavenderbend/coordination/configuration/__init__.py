"""One configuration in force on every router, never an older one."""
