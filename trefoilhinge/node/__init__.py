"""Decision logic of one instance, composed from the cores of the apps."""
