"""Exit codes of the command line."""

EXIT_SUCCESS = 0
# The command ran and found something that needs an operator.
EXIT_PROBLEM_FOUND = 1
# The input, a flag or a setting is wrong, or nothing could be reached.
EXIT_ERROR = 2
