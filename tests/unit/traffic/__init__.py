"""Tests of quotas, learned capacity and overload control in use."""
