"""Settings and the configuration document, with schemas and checks."""
