@0xc1a7b0d5e94f2836;
# Records of the claim streams, and the messages by which routers pass
# claims on to the router that is preferred for a shard.

struct Batch {
  # One log record: the group commit of one router. It may be empty.
  records @0 :List(Record);
  era @1 :Int64 = -1;
  # The newest era of the log that the router knew; -1 if it knew none.
}

struct Record {
  key @0 :Data;
  # BLAKE2b-128 over customer, service and idempotency key.
  claimId @1 :Data;
  # 16 random bytes.
  keyTime @2 :UInt64;
  # Creation time of the key, in milliseconds since the Unix epoch.
  union {
    claim @3 :Data;
    # The fingerprint of the request, 16 bytes.
    release @4 :Void;
    outcome @5 :Outcome;
  }
}

struct Outcome {
  status @0 :UInt16;
  union {
    body @1 :Data;
    dropped @2 :Void;
    # The body was too long to keep.
  }
}

struct Forwarded {
  # A record for the receiving router's batcher.
  record @0 :Record;
  timeoutMs @1 :UInt32;
}

struct Decision {
  union {
    granted @0 :Void;
    held @1 :Void;
    replay @2 :Outcome;
    mismatch @3 :Void;
    expired @4 :Void;
    invalidKey @5 :Void;
    unavailable @6 :Bool;
    # Whether the claim may be in the log.
    recorded @7 :Void;
    # The release or outcome is in the log.
  }
}
