"""Process settings and service documents, in INI."""
