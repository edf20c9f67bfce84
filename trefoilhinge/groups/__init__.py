"""Groups of engines for prompts beyond the memory of one engine."""
