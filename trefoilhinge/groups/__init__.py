"""Engine groups for prompts that exceed the memory of one engine."""
