"""Exit codes of the command line."""

EXIT_DONE = 0
# The command ran and found something that needs an operator.
EXIT_FAULT = 1
# The input, a flag or a setting is wrong, or nothing could be reached.
EXIT_INVALID = 2
