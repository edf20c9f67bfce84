"""Orders to targets: models, adapters, versions and roles."""
