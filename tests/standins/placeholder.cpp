// Keeps the library of shared stand-in code from being empty.
