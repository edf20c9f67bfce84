"""Settings, the configuration document, their schemas and checks."""
