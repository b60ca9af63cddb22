//! Test-only stand-ins for what is outside the proxy.
