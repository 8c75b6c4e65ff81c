// Messages between nodes: RPC, gossip and links.
namespace py dogwooddock.peers.wire

struct Header {
  1: string name
  2: string value
}

// One attempt to run a caller's request, sent by an ingress to a gate.
struct Attempt {
  1: string attempt_id
  2: string trace_id
  3: string route
  4: string caller
  5: i32 importance
  6: i32 depth
  7: i64 remaining_us
  8: i32 allowance
  9: i64 config_version
  10: string method
  11: string path
  12: list<Header> headers
  13: binary body
  14: bool idempotent
  15: string key
  16: i64 key_base
  17: string fingerprint
  18: string source
  19: i32 rank
}

// Load of a gate, included in every reply.
struct Load {
  1: i32 limit
  2: i32 in_flight
  3: i32 queued
  4: i32 level
  5: i32 service_us
  6: bool draining
}

struct Reply {
  1: string attempt_id
  2: string outcome
  3: string reason
  4: i32 status
  5: list<Header> headers
  6: binary body
  7: i32 unspent
  8: Load load
  9: i32 downstream_level
  10: i64 config_version
  11: string ticket
  12: i64 key_version
  13: i64 target_lifetime
}

// Status of an attempt that claimed an idempotency key.
struct KeyStatus {
  1: string state
  2: Reply reply
}

struct Member {
  1: i64 node_id
  2: string name
  3: string ip
  4: i32 port
  5: string zone
  6: string pool
  7: i32 counter
  8: i8 state
}

struct QuarantineMark {
  1: string fingerprint
  2: i64 node_id
  3: i32 remaining_s
  5: i8 kind
  6: i64 lifetime
}

struct Gossip {
  1: i8 kind
  2: i64 sender
  3: i32 sequence
  4: i64 subject
  5: i64 config_version
  6: list<Member> members
  7: list<QuarantineMark> marks
  8: i64 marks_digest
}

struct ConfigLog {
  1: i64 base
  2: list<string> edits
  3: string snapshot
  4: i64 version
}

struct ClaimWrite {
  1: string key
  2: i64 base
  3: string row
}

struct ClaimResult {
  1: string status
  2: i64 version
  3: string row
}

service Peer {
  Reply call(1: Attempt attempt)
  bool cancel(1: string attempt_id)
  KeyStatus key_status(1: i64 holder, 2: string attempt_id, 3: i64 wait_us)
  list<string> issue_tickets(1: i32 count)
  string cancel_ticket(1: string ticket)
  list<ClaimResult> write_claims(1: list<ClaimWrite> writes)
  list<ClaimResult> read_claims(1: list<string> keys)
  ConfigLog pull_config(1: i64 position)
  list<Member> pull_members(1: i64 requester)
  bool add_mark(1: QuarantineMark mark)
}

// Messages on a link, a multiplexed connection between two nodes.

// State of a node and of its target, as announced by the node.
struct NodeRecord {
  1: string ip
  2: i32 port
  3: string zone
  4: string pool
  5: string target_id
  6: i64 born_ms
  7: i64 sequence
  8: i32 slots
  9: i8 state
  10: i32 cold_ms
}

// A call for the target of the receiving node.
struct LinkCall {
  1: i32 call_id
  2: binary request_id
  3: string route
  4: string target_id
  5: binary method
  6: binary path
  7: binary headers
  8: binary body
  9: i32 remaining_ms
  11: bool idempotent
  12: i8 importance
  13: i8 depth
  14: string caller
  15: string fingerprint
  16: i64 config_version
  17: i32 rank
  18: bool repeat
  19: i32 rate_limit_per_1000_s
  20: string account
  // Time left until the latency objective, which may have passed.
  21: i32 objective_ms
  // Size of a body that follows in parts, instead of in this message.
  22: i32 body_size
}

struct LinkLoad {
  1: i32 limit
  2: i32 in_flight
  3: i32 queued
  4: i32 level
  5: i32 wait_ms
  6: bool accepting
  7: i32 service_ms
  8: i32 rate_limit_per_1000_s
}

struct LinkReply {
  1: i32 call_id
  2: i8 outcome
  3: string reason
  4: i32 status
  5: binary headers
  6: binary body
  7: bool reached
  8: LinkLoad load
  9: i64 config_version
  10: i32 below_level
  11: i32 chain_level
  12: optional bool idle_close
  // Size of a body that follows in parts, instead of in this message.
  13: i32 body_size
}

// Next part of the body of a call, or of a reply to one.
struct LinkPart {
  1: i32 call_id
  2: binary data
}

struct LinkCancel {
  1: i32 call_id
}

// Liveness probe, sent by either side; a probe with reply = false is answered by one
// with reply = true.
struct LinkProbe {
  1: bool reply
  2: i64 config_version
  3: i64 members_version
  4: bool accepting
  5: NodeRecord sender
  6: string zone
  7: bool store_lost
  8: i64 marks_digest
  // In a request for the age of the configuration: its send time, which the answer
  // repeats.
  9: i64 asked_at_us
  // Time since config_version was last proved to be the newest; only in an answer.
  10: i64 config_age_ms
  // Whether the sender takes bodies in parts.
  11: bool takes_parts
}

struct StatePull {
  1: i64 config_version
  2: i64 members_version
  // Configuration version that the sender knows to exist. A pull with it may be answered
  // later, or with the address of a node to ask instead; one without it is answered at once.
  3: i64 wanted_config
}

struct StatePush {
  1: i64 config_version
  2: binary document
  3: list<NodeRecord> members
  4: i64 members_version
  // Node to pull from instead, in an answer without any state.
  5: string ask_ip
  6: i32 ask_port
  // In an unsolicited push, whose members_version is 0: positions of the store between
  // which no members changed other than those listed.
  7: i64 members_since
  8: i64 members_until
}

struct LinkMarks {
  1: list<QuarantineMark> marks
}

// Request for tokens of a client account's quota, sent to the account's owner. As most
// asks and grants are for one request, waiting and tokens are left out if they are 1.
struct LinkQuotaAsk {
  1: i32 account
  2: i16 waiting
  3: i16 extra
  4: i16 spent
  5: i16 reused
}

// Answer to an ask; part is a share of the limit, in 1/10000.
struct LinkQuotaGrant {
  1: i32 account
  2: i16 tokens
  3: i16 retry_ms
  4: i16 part
  5: bool not_owner
  6: i32 demand_per_1000_s
}
