"""Runs the console from the command line."""


def run_console(listen: str, document: str, status: str) -> int:
    """Serve the console until the process is told to stop."""
    raise NotImplementedError(listen, document, status)
