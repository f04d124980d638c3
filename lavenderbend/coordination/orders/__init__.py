"""Orders engines to load the models that operators configure."""
