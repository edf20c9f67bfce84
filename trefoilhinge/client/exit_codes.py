"""Exit codes of the command line."""

EXIT_SUCCESS = 0
# The command ran and found a problem that requires operator action.
EXIT_PROBLEM_FOUND = 1
# The input, a flag or a setting is invalid, or an instance is unreachable.
EXIT_ERROR = 2
