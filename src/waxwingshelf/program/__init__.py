"""The entry instance program: settings, command line, and the tasks of a running instance."""
