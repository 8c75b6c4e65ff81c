"""The platform's transactional table service and object store."""
