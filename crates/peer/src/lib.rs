//! Messages between entries over capnp-rpc.
