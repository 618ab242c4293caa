"""Do the work of the command-line tool."""
