"""Orders that set the model, version, adapters and role of targets."""
