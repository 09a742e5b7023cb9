"""What operators write: records, their schemas, accepted configurations."""
