"""The operators' HTTP interface of an instance: status, health, metrics."""
