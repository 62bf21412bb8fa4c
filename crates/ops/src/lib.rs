//! The operators' gRPC contract and its server.
