@0xd2f7b6f3c1a94e55;
# One struct for each message type of messages.py, in a common envelope.

struct Envelope {
  union {
    hello @0 :Hello;
    helloRefused @1 :HelloRefused;
    heartbeat @2 :Heartbeat;
    heartbeatReply @3 :HeartbeatReply;
    configSlice @4 :ConfigSlice;
    dispatch @5 :Dispatch;
    dispatchAck @6 :DispatchAck;
    refusal @7 :Refusal;
    answer @8 :Answer;
    answerAck @9 :AnswerAck;
    query @10 :Query;
    queryReply @11 :QueryReply;
    peerBeat @12 :PeerBeat;
    peerEcho @13 :PeerEcho;
    configChanges @14 :ConfigChanges;
    configSnapshot @15 :ConfigSnapshot;
    relay @16 :Relay;
    fromAgent @17 :FromAgent;
    agentUp @18 :AgentUp;
    agentLost @19 :AgentLost;
    agentReport @20 :AgentReport;
    reserve @21 :Reserve;
    reserved @22 :Reserved;
    start @23 :Start;
    started @24 :Started;
    memberRefused @25 :MemberRefused;
    stop @26 :Stop;
    membersEnded @27 :MembersEnded;
    endedAck @28 :EndedAck;
    jobNotice @29 :JobNotice;
    ask @30 :Ask;
    askReply @31 :AskReply;
    workOrders @32 :WorkOrders;
    workReport @33 :WorkReport;
    schedulerQuery @34 :SchedulerQuery;
    schedulerSign @35 :SchedulerSign;
    schedulerSighting @36 :SchedulerSighting;
  }
}

struct Hello {
  version @0 :UInt64;
  role @1 :Text;
  name @2 :Text;
  zone @3 :Text;
  incarnation @4 :Text;
  document @5 :Data;
}

struct HelloRefused {
  reason @0 :Text;
}

struct Heartbeat {
  sequence @0 :UInt64;
  free @1 :UInt64;
  leaving @2 :Bool;
  revision @3 :UInt64;
  epoch @4 :UInt64;
  heard @5 :List(Text);
}

struct HeartbeatReply {
  sequence @0 :UInt64;
  revision @1 :UInt64;
  epoch @2 :UInt64;
  entries @3 :Data;
  waiting @4 :UInt64;
}

struct ConfigSlice {
  revision @0 :UInt64;
  zoneOut @1 :Bool;
  labels @2 :Data;
}

struct Dispatch {
  dispatchId @0 :Text;
  account @1 :Text;
  key @2 :Text;
  permit @3 :UInt64;
  incarnation @4 :Text;
  revision @5 :UInt64;
  confirmAgeMs @6 :UInt64;
  budgetMs @7 :UInt64;
  body @8 :Data;
  digest @9 :Data;
}

struct DispatchAck {
  dispatchId @0 :Text;
}

struct Refusal {
  dispatchId @0 :Text;
  code @1 :Text;
  detail @2 :Text;
  free @3 :UInt64;
}

struct Answer {
  dispatchId @0 :Text;
  status @1 :UInt64;
  failed @2 :Bool;
  body @3 :Data;
  digest @4 :Data;
  free @5 :UInt64;
}

struct AnswerAck {
  dispatchId @0 :Text;
}

struct Query {
  queryId @0 :Text;
  account @1 :Text;
  key @2 :Text;
  dispatchId @3 :Text;
  permit @4 :UInt64;
  incarnation @5 :Text;
}

struct QueryReply {
  queryId @0 :Text;
  state @1 :Text;
  status @2 :UInt64;
  failed @3 :Bool;
  body @4 :Data;
  digest @5 :Data;
}

struct PeerBeat {
  sequence @0 :UInt64;
  revision @1 :UInt64;
  confirmAgeMs @2 :UInt64;
  storeDown @3 :Bool;
  epoch @4 :UInt64;
  holder @5 :Text;
  lagging @6 :List(Text);
}

struct PeerEcho {
  sequence @0 :UInt64;
  revision @1 :UInt64;
  confirmAgeMs @2 :UInt64;
  storeDown @3 :Bool;
}

struct ConfigChanges {
  changes @0 :Data;
}

struct ConfigSnapshot {
  document @0 :Data;
}

struct Relay {
  agent @0 :Text;
  epoch @1 :UInt64;
  payload @2 :Data;
}

struct FromAgent {
  agent @0 :Text;
  incarnation @1 :Text;
  payload @2 :Data;
}

struct AgentUp {
  document @0 :Data;
}

struct AgentLost {
  name @0 :Text;
  incarnation @1 :Text;
}

struct AgentReport {
  epoch @0 :UInt64;
  running @1 :Data;
}

struct Reserve {
  attempt @0 :Text;
  job @1 :Data;
  count @2 :UInt64;
  epoch @3 :UInt64;
  revision @4 :UInt64;
  confirmAgeMs @5 :UInt64;
}

struct Reserved {
  attempt @0 :Text;
  permit @1 :UInt64;
}

struct Start {
  attempt @0 :Text;
  permit @1 :UInt64;
  epoch @2 :UInt64;
  revision @3 :UInt64;
  confirmAgeMs @4 :UInt64;
}

struct Started {
  attempt @0 :Text;
}

struct MemberRefused {
  attempt @0 :Text;
  code @1 :Text;
  detail @2 :Text;
}

struct Stop {
  attempt @0 :Text;
  epoch @1 :UInt64;
  checkpoint @2 :Bool;
  graceMs @3 :UInt64;
}

struct MembersEnded {
  attempt @0 :Text;
  state @1 :Text;
  detail @2 :Text;
  progressS @3 :Float64;
}

struct EndedAck {
  attempt @0 :Text;
}

struct JobNotice {
  kind @0 :Text;
  jobId @1 :Text;
  job @2 :Data;
}

struct Ask {
  queryId @0 :Text;
  topic @1 :Text;
  document @2 :Data;
}

struct AskReply {
  queryId @0 :Text;
  document @1 :Data;
}

struct WorkOrders {
  epoch @0 :UInt64;
  reportSeen @1 :UInt64;
  body @2 :Data;
}

struct WorkReport {
  epoch @0 :UInt64;
  number @1 :UInt64;
  body @2 :Data;
}

struct SchedulerQuery {
  epoch @0 :UInt64;
}

struct SchedulerSign {
  epoch @0 :UInt64;
  storeUnheardS @1 :Float64;
}

struct SchedulerSighting {
  epoch @0 :UInt64;
  linked @1 :Bool;
  silentS @2 :Float64;
}
