@0xbf5147cbbecf40c1;
# Messages between routers. Fields are only ever added at the end of a
# struct, and kind numbers are never used again; a receiver counts and
# ignores kinds that it does not know.

struct Envelope {
  version @0 :UInt16;
  kind @1 :UInt16;
  # Name of the sending router.
  sender @2 :Text;
  # Correlates an answer with its question.
  sequence @3 :UInt32;
  body @4 :AnyPointer;
}

# An address is 4 or 16 bytes of IP number, then 2 bytes of port, big endian.

struct MemberUpdate {
  name @0 :Text;
  peer @1 :Data;
  dataCentre @2 :Text;
  region @3 :Text;
  incarnation @4 :UInt32;
  # 0 alive, 1 suspect, 2 leaving, 3 dead.
  state @5 :UInt8;
  # Router that reports a suspicion, to count independent reports.
  reporter @6 :Text;
}

struct Item {
  topic @0 :UInt8;
  key @1 :Data;
  version @2 :UInt64;
  value @3 :Data;
  lifetimeMs @4 :UInt32;
}

struct Ping {
  # Name of the member that has to answer.
  target @0 :Text;
  updates @1 :List(MemberUpdate);
  items @2 :List(Item);
}

struct IndirectPing {
  target @0 :Text;
  peer @1 :Data;
  updates @2 :List(MemberUpdate);
  items @3 :List(Item);
}

struct Ack {
  updates @0 :List(MemberUpdate);
  items @1 :List(Item);
}

struct Nack {
}

struct Gossip {
  updates @0 :List(MemberUpdate);
  items @1 :List(Item);
}

struct EngineIdentity {
  engine @0 :Data;
  incarnation @1 :Text;
  weightsVersion @2 :Text;
  role @3 :Text;
  totalBlocks @4 :UInt32;
}

struct LoadShare {
  # Age of the oldest reading.
  ageMs @0 :UInt32;
  # 8 bytes for each engine, see peering/readings.py.
  readings @1 :Data;
  identities @2 :List(EngineIdentity);
}

struct DemandShare {
  # 0 for a router's own demand, 1 for that of a data centre, 2 for the sum
  # over the other data centres.
  scope @0 :UInt8;
  dataCentre @1 :Text;
  # 6 bytes for each customer, see peering/demand.py.
  demand @2 :Data;
}

struct StateSync {
  updates @0 :List(MemberUpdate);
  items @1 :List(Item);
}

struct DocumentRequest {
  service @0 :Text;
  above @1 :UInt64;
}

struct DocumentReply {
  found @0 :Bool;
  service @1 :Text;
  version @2 :UInt64;
  # The document holds after the record with this offset.
  asOf @3 :UInt64;
  text @4 :Text;
  # Era of the log in which the offsets hold; -1 if it is not known.
  era @5 :Int64 = -1;
  # Log time of the version's publication; 0 if it is not known.
  publishedAtMs @6 :UInt64;
}

struct HotPrefixRequest {
  limit @0 :UInt16;
}

struct HotPrefix {
  engine @0 :Data;
  incarnation @1 :Text;
  digest @2 :Data;
  tokens @3 :UInt32;
  # Requests a second, in thousandths.
  rateMilli @4 :UInt32;
}

struct HotPrefixReply {
  prefixes @0 :List(HotPrefix);
}

struct EngineRequest {
}

struct EngineReply {
  ageMs @0 :UInt32;
  readings @1 :Data;
  identities @2 :List(EngineIdentity);
}

struct ClaimForward {
  # A record of claims/records.capnp.
  payload @0 :Data;
}

struct ClaimReply {
  payload @0 :Data;
}

struct BurnPush {
  origin @0 :Text;
  # Compressed buckets, see burn/codec.py.
  buckets @1 :Data;
}

struct BurnRequest {
  origin @0 :Text;
}

struct BurnReply {
  found @0 :Bool;
  buckets @1 :Data;
}

struct Accepted {
}

struct Failed {
  # One sentence for a log line.
  reason @0 :Text;
}

struct FleetMember {
  name @0 :Text;
  endpoint @1 :Data;
  dataCentre @2 :Text;
  # Time since it was heard.
  ageMs @3 :UInt32;
}

struct FleetMark {
  topic @0 :UInt8;
  # Offset below which the sender has applied every record.
  mark @1 :UInt64;
  # Time since the store confirmed the mark.
  ageMs @2 :UInt32;
  # Era of the store that gave out the offsets of the topic in this message.
  era @3 :Int64 = -1;
  # Whether the records are all of the topic, because the asker knows an
  # earlier era.
  isListing @4 :Bool;
}

struct FleetRecord {
  topic @0 :UInt8;
  key @1 :Text;
  offset @2 :UInt64;
  # Whether the record removes the key.
  removes @3 :Bool;
  value @4 :Data;
}

struct FleetLoad {
  server @0 :Text;
  active @1 :UInt32;
  waitingTokens @2 :UInt32;
  # Calls that no other server may continue.
  fixed @3 :UInt32;
  # KV memory that the calls may take.
  kvTokens @4 :UInt32;
}

struct FleetPause {
  server @0 :Text;
  # Time for which the server gets no calls; 0 ends a pause.
  remainingMs @1 :UInt32;
}

struct FleetWeights {
  server @0 :Text;
  model @1 :Text;
  version @2 :UInt64;
}

struct FleetSilence {
  server @0 :Text;
}

struct FleetSuspicion {
  fingerprint @0 :Data;
  # Names of crashes, separated by commas.
  crashes @1 :Text;
  cleared @2 :Text;
  ageMs @3 :UInt32;
}

struct FleetLeaving {
  server @0 :Text;
  # Unix time of its start in ms; 0 if it is not known.
  startedAt @1 :UInt64;
  # Time since it last said so, in ms; the default if that is not known.
  ageMs @2 :UInt32 = 4294967295;
}

struct FleetPartCrash {
  # Id of the crash.
  crash @0 :Text;
  # Short digest of the request.
  request @1 :Text;
  # Time since the run was sent, and since its end was noticed.
  sentAgeMs @2 :UInt32;
  noticedAgeMs @3 :UInt32;
}

struct FleetPartEvidence {
  partId @0 :Text;
  crashes @1 :List(FleetPartCrash);
  # Whether a run with the part is known that its engine outlived, and the time
  # since it began to be answered.
  isSound @2 :Bool;
  soundAgeMs @3 :UInt32;
}

struct FleetLimit {
  server @0 :Text;
  # Calls a second from all routers together, in thousandths; 0 without a limit.
  rateMilli @1 :UInt32;
  # Time since the answer of the server that shows it.
  ageMs @2 :UInt32;
}

struct PermitRequest {
  server @0 :Text;
  count @1 :UInt32;
  # Longest time until the first permit.
  withinMs @2 :UInt32;
  # The limit that the sender knows, as in FleetLimit.
  rateMilli @3 :UInt32;
  ageMs @4 :UInt32;
  # Whether slots of a brittle server are asked for, and the number that the
  # sender occupies.
  isForSlots @5 :Bool;
  occupied @6 :UInt32;
}

struct PermitReply {
  # 0 if the first permit is too far ahead.
  count @0 :UInt32;
  # Time until the first permit.
  waitMs @1 :UInt32;
  # Time between two permits.
  intervalUs @2 :UInt32;
}

struct FleetVersion {
  service @0 :Text;
  softwareVersion @1 :Text;
  # Time since a server was last listed with it.
  ageMs @2 :UInt32;
}

struct StreamGroup {
  service @0 :Text;
  softwareVersion @1 :Text;
  # Keys of 16 bytes, one after the other.
  keys @2 :Data;
}

struct StreamOriginReport {
  groups @0 :List(StreamGroup);
}

struct StreamOriginRequest {
  key @0 :Data;
}

struct StreamOriginPull {
}

struct StreamOriginReply {
  isKnown @0 :Bool;
  service @1 :Text;
  softwareVersion @2 :Text;
}

struct FleetTarget {
  # Evidence on when the versions after the previous one were named.
  model @0 :Text;
  version @1 :UInt32;
  previous @2 :UInt32;
  # Longest time since the first of them was named.
  ageMs @3 :UInt32;
}

struct FleetExchange {
  name @0 :Text;
  leaves @1 :Bool;
  members @2 :List(FleetMember);
  marks @3 :List(FleetMark);
  records @4 :List(FleetRecord);
  loads @5 :List(FleetLoad);
  pauses @6 :List(FleetPause);
  weights @7 :List(FleetWeights);
  suspicions @8 :List(FleetSuspicion);
  # Whether the sender wants the records above its marks.
  asks @9 :Bool;
  endpoint @10 :Data;
  dataCentre @11 :Text;
  # Whether the records are all that the asker needs to reach the marks.
  answers @12 :Bool;
  # Servers that leave the sender's connection attempts unanswered.
  silences @13 :List(FleetSilence);
  limits @14 :List(FleetLimit);
  # Evidence on parts of prompts that may crash servers.
  parts @15 :List(FleetPartEvidence);
  # Servers that have stated that they leave.
  leaving @16 :List(FleetLeaving);
  # Software versions of the services that had several lately.
  versions @17 :List(FleetVersion);
  # How far back the sender knows them.
  versionsKnownMs @18 :UInt32;
  # Only in answers; the asker counts the ages from when it asked.
  targets @19 :List(FleetTarget);
  # Whether the sender misses engines that others reach.
  cannotLead @20 :Bool;
  # Whether the sender has just released the leader lease.
  releasedLease @21 :Bool;
  # Servers that are brittle; the rate is that of the rejections they bear.
  brittle @22 :List(FleetLimit);
}

struct PathOpen {
  server @0 :Text;
  # Address of the server.
  target @1 :Data;
  # Whether no call follows at once.
  isProbe @2 :Bool;
}

struct PathOpened {
}

struct PathData {
  payload @0 :Data;
}

struct PathEnd {
}
