"""The program: settings, command line and the tasks of an instance."""
