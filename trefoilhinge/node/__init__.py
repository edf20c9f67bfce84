"""The core of one instance: every decision, composed from the apps' cores."""
