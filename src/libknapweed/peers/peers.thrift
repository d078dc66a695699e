// The messages between the system's own processes. Regenerate with scripts/generate after a change; the generated code is committed.
// Each message is sent as one type byte (the index of the struct in PeerMessage of codec.h) followed by the struct in the compact protocol.
// Times are relative durations in milliseconds, because processes share no clock. Each request is idempotent: attempt and fence identify it.

namespace cpp knapweed.wire

enum Role { Entry = 1, Agent = 2 }
enum Adjacency { None = 0, Worker = 1, Rack = 2 }
enum Outcome { Completed = 1, Failed = 2, Cancelled = 3, NotRun = 4, Unknown = 5 }
enum StopReason { Cancelled = 1, Preempted = 2, Draining = 3, GangBroken = 4, Abandoned = 5 }

/// Why a hold, arm or go request was refused, or why an attempt ended with its outcome.
enum Reason {
  None = 0, Busy = 1, EndpointLeaving = 2, Reserved = 3, StaleFence = 4, LeaseLapsed = 5, WorkerFailed = 6, EndpointFailed = 7,
  Abandoned = 8, Preempted = 9, Cancelled = 10, MemberLost = 11, NotFirst = 12, Expired = 13, Draining = 14, Unreachable = 15, LogUnavailable = 16
}

/// Identifies one attempt at running a job. owner is the random number of the entry process that created the attempt, so no two entries share an id.
struct AttemptId { 1: string job, 2: i64 owner, 3: i32 number }

struct JobSpec {
  1: string account, 2: string kind, 3: i32 tasks = 1, 4: i32 acceleratorsPerTask = 1,
  5: i32 processorsPerTask, 6: i64 memoryMibPerTask, 7: Adjacency adjacency,
  8: bool repeatable = true, 9: bool checkpointable, 10: i64 declaredRunMs, 11: bool urgent, 12: string input,
}

/// One member, a part of a gang: the agent that controls it and the accelerators that it uses on the worker.
struct Member { 1: string agent, 2: string worker, 3: list<i32> accelerators }

/// processorPermille: thousandths of a core that the process may use; 0 if unknown.
struct RosterEntry { 1: string address, 2: Role role, 3: i64 incarnation, 4: string region, 5: string failureDomain, 6: i32 processorPermille }

struct Hello { 1: RosterEntry sender, 2: i32 protocolVersion }
/// heard is the highest sequence that the sender has received on this connection; it confirms to the receiver that both directions work.
/// asksRoster requests that the receiver's next heartbeat hold its roster. An optional field is omitted while it is false or empty.
/// evacuations is the version of the sender's EvacuationState (versionOf in cell/evacuations.h). A process that does not serve evacuations omits it, and must
/// not be sent an EvacuationState: it may be of a release that drops the connection at an unknown message.
struct Heartbeat {
  1: i64 sequence, 2: optional list<RosterEntry> roster, 3: i64 configurationVersion, 4: optional bool draining, 5: i64 heard, 6: optional bool asksRoster,
  7: optional i64 evacuations
}
struct ConfigurationOffer { 1: i64 version, 2: string document, 3: string author }

struct RunningPart {
  1: AttemptId attempt, 2: string account, 3: string kind, 4: string lead, 5: list<i32> accelerators,
  6: bool checkpointable, 7: bool repeatable, 8: i64 runningMs, 9: i64 sinceCheckpointMs, 10: i32 gangSize, 11: bool started
}
struct AgentReport {
  1: i64 sequence, 2: string agent, 3: string worker, 4: string rack, 5: string failureDomain, 6: string region,
  7: bool available, 8: i32 slots, 9: i32 accelerators, 10: i32 processors, 11: i64 memoryMib,
  12: list<RunningPart> parts, 13: i64 startedTasks, 14: i64 failedTasks, 15: string endpointState, 16: i64 incarnation
}

/// Sent by a home entry to the planner to request a placement; repeated until it is answered or retracted.
struct PlacementRequest { 1: string job, 2: string home, 3: JobSpec spec, 4: i64 waitedMs, 5: i32 triedAttempts, 6: list<string> avoidWorkers }
struct PlacementWithdrawal { 1: string job, 2: string home }
struct Placement { 1: string job, 2: list<Member> members, 3: bool borrowed }
struct PlacementRefusal { 1: string job, 2: string detail }

/// Request from the home entry to the lead (the agent of the first member); repeated until acknowledged. leadIncarnation is the incarnation that the
/// latest AgentReport of the lead contains. A lead that has restarted since then cannot determine whether the attempt ran before, so it reports the
/// outcome as unknown, never as not run. 0 means that the home entry has no incarnation of the lead.
struct GangRequest { 1: AttemptId attempt, 2: JobSpec spec, 3: list<Member> members, 4: string home, 5: i64 startWithinMs, 6: i64 leaseMs, 7: bool borrowed, 8: i64 leadIncarnation }
struct GangAck { 1: AttemptId attempt }
struct HoldRequest { 1: AttemptId attempt, 2: i32 member, 3: string lead, 4: JobSpec spec, 5: list<i32> accelerators, 6: i64 holdMs, 7: bool borrowed, 8: i32 gangSize }
struct HoldReply { 1: AttemptId attempt, 2: i32 member, 3: bool granted, 4: i64 fence, 5: Reason reason }
struct ArmRequest { 1: AttemptId attempt, 2: i32 member, 3: i64 fence, 4: i64 leaseMs }
struct ArmReply { 1: AttemptId attempt, 2: i32 member, 3: i64 fence, 4: bool armed, 5: Reason reason }
struct GoRequest { 1: AttemptId attempt, 2: i32 member, 3: i64 fence, 4: i64 leaseMs }
struct GoReply { 1: AttemptId attempt, 2: i32 member, 3: i64 fence, 4: bool running, 5: Reason reason }
/// heardSequence is the sequence of the member's newest reply that the lead has received. The lease runs for leaseMs from the time at which the member
/// sent that reply, so a delayed renewal never extends it. 0 refers to the HoldReply.
struct RenewRequest { 1: AttemptId attempt, 2: i32 member, 3: i64 fence, 4: i64 leaseMs, 5: i64 sequence, 6: i64 heardSequence }
struct RenewReply { 1: AttemptId attempt, 2: i32 member, 3: i64 fence, 4: i64 sequence, 5: bool alive }
struct PartReport { 1: AttemptId attempt, 2: i32 member, 3: i64 fence, 4: bool succeeded, 5: Reason reason, 6: string output }
struct PartAck { 1: AttemptId attempt, 2: i32 member, 3: i64 fence }
struct StopRequest { 1: AttemptId attempt, 2: i32 member, 3: i64 fence, 4: StopReason reason, 5: i64 graceMs }
struct StopReply { 1: AttemptId attempt, 2: i32 member, 3: i64 fence, 4: bool everStarted }

/// Orders the lead to end the attempt. Comes from the home entry (cancel, abandon) or from the planner (preempt, after a checkpoint if the job supports it).
struct EndAttempt { 1: AttemptId attempt, 2: StopReason reason, 3: i64 graceMs, 4: string replyTo, 5: i64 leadIncarnation }
/// The lead's reply to a request to end or query an attempt. When neverStarted is set, the lead keeps a tombstone for the attempt, so that it stays true.
struct EndAttemptReply { 1: AttemptId attempt, 2: bool neverStarted, 3: bool finished }

struct PartResult { 1: string worker, 2: string output, 3: i64 length, 4: i64 digest }
/// Sent by the lead to the home entry at the end of an attempt; repeated until acknowledged. NotRun means that no go was sent and none will be.
struct OutcomeReport { 1: AttemptId attempt, 2: string lead, 3: Outcome outcome, 4: Reason reason, 5: string detail, 6: list<PartResult> parts, 7: i64 runMs }
struct OutcomeAck { 1: AttemptId attempt }
/// Sent by the home entry to query an attempt after the lead has been silent, or after a take-over. A lead without a record of the attempt sends an
/// EndAttemptReply and keeps a tombstone.
struct AttemptQuery { 1: AttemptId attempt, 2: string home, 3: i64 leadIncarnation }

/// Notifies the home entry that a caller cancelled its job at another entry.
struct JobCancel { 1: string job }

// ---- Messages of a cell: its entries, one of which is the scheduler, and the agents of its endpoints (src/libknapweed/cell).

enum RunEnding { Done = 1, Failed = 2, Stopped = 3, Lapsed = 4, Broken = 5, Alone = 6 }
enum CallKind { Submit = 1, Query = 2, Cancel = 3, CountWaiting = 4, CheckConfiguration = 5 }
enum CallOutcome { Ok = 1, Refused = 2, Missing = 3, Unknown = 4, NotScheduler = 5, Outdated = 6 }
/// What an answer rests on: a record in the store, or the memory of the scheduler alone.
enum AnswerBasis { Memory = 1, Record = 2 }
/// Evacuated: the agent's own state does not allow a start in the failure domain of its endpoint. Not sent in answer to an order without evacuationPosition.
enum StartOutcome { Started = 1, Rejected = 2, Unanswered = 3, NoRoom = 4, BadTicket = 5, Evacuated = 6 }

struct RunRef { 1: string job, 2: i32 occurrence, 3: i32 step, 4: i32 index, 5: i64 run }
struct RunRow { 1: RunRef run, 2: string checkpoint, 3: i32 percent, 4: i64 load }
struct EndRow { 1: i64 number, 2: RunRef run, 3: RunEnding how, 4: string checkpoint }

/// A run that was on an endpoint, or may have been, when that crashed. isSettled: the endpoint had survived its start. wasRunning: the endpoint itself had
/// shown the run shortly before; otherwise the run may never have begun there, or may have ended before.
struct LostRun { 1: RunRef run, 2: bool isSettled, 3: bool wasRunning }

/// Sent by an agent to the scheduler: the state of its endpoint and what runs there. sentAtMs is the agent's boot clock in milliseconds; the lease
/// granted by the answer runs from that time. sequence increases within one incarnation (field life) of the agent's process. isListed means that the lists were
/// read under this generation's fence, so no order of an older scheduler can take effect on the endpoint any more. lost holds the runs that ended
/// with the incarnation of the endpoint before this one, if that crashed under the eyes of this process of the agent; it is empty if it left in order.
/// speedPermille is the endpoint's relative speed as a scheduler has last stated it, for its incarnation born at speedBorn; a new scheduler begins with it.
struct EndpointReport {
  1: i64 sequence, 2: i64 sentAtMs, 3: string endpoint, 4: i64 born, 5: string serviceName, 6: string failureDomain, 7: list<string> labels,
  8: i64 milliCores, 9: i64 memoryMib, 10: i64 accelerators, 11: bool draining, 12: bool isListed, 13: list<RunRow> running, 14: list<EndRow> ended,
  15: i64 generation, 16: i64 leavesInMs, 17: string rack, 18: i64 life,
  19: list<LostRun> lost,
  20: optional i32 speedPermille, 21: optional i64 speedBorn
}
/// speedPermille: stated when it differs noticeably from the one that the agent has returned.
struct EndpointGrant { 1: i64 generation, 2: i64 sentAtMs, 3: string endpoint, 4: i64 born, 5: i64 endsStored, 6: optional i32 speedPermille }
/// milliCores, memoryMib and accelerators are the endpoint's capacity for which the start was planned; the agent refuses it if the endpoint has less by then.
/// validUntilMs is on the agent's boot clock, as sentAtMs of its reports; 0: not stated. The agent carries out no order after it.
/// evacuationPosition and isEvacuated: the position of the scheduler's EvacuationState, and whether it holds the endpoint's failure domain; omitted by a
/// scheduler that does not serve evacuations.
struct StartOrder {
  1: i64 generation, 2: string endpoint, 3: i64 born, 4: RunRef run, 5: string input, 6: string checkpoint, 7: string ticket,
  8: i64 milliCores, 9: i64 memoryMib, 10: i64 accelerators, 11: i64 validUntilMs, 12: optional i64 evacuationPosition, 13: optional bool isEvacuated
}
/// A failure domain that the operators have asked to evacuate, with the offset of their record.
struct EvacuatedDomain { 1: string name, 2: i64 offset }
/// The evacuated failure domains. All records of the operators below the offset position are reflected. Sent on a change, and to a peer whose heartbeat
/// names another version.
struct EvacuationState { 1: i64 position, 2: list<EvacuatedDomain> domains }
/// sequence is that of the agent's newest report. Only later reports can be expected to hold the run. evacuations: the agent's state, if it is the reason for
/// the refusal and is known.
struct StartResult {
  1: i64 generation, 2: string endpoint, 3: i64 born, 4: RunRef run, 5: StartOutcome outcome, 6: string detail, 7: i64 sequence,
  8: optional EvacuationState evacuations
}
struct StopOrder { 1: i64 generation, 2: string endpoint, 3: i64 born, 4: RunRef run }
/// The run is not on the endpoint and cannot start there any more.
struct RunAbsent { 1: i64 generation, 2: string endpoint, 3: i64 born, 4: RunRef run }
/// The scheduler of the cell, according to the newest generation that the sender knows. isLeaving: the scheduler has resigned, and leadership is free again.
/// askedAtMs: not 0 if the scheduler asks whether the receiver knows of a later term, with its own time. An entry that doesn't sends the notice back.
/// It has thereby acknowledged the term and confirms no earlier one. unconfirmedForMs: for how long it certainly has confirmed none; absent: not stated.
struct SchedulerNotice { 1: i64 generation, 2: string address, 3: bool isLeaving, 4: i64 askedAtMs, 5: optional i64 unconfirmedForMs }
/// A caller's request, sent to the scheduler by the entry that serves the caller's connection; may be repeated with the same call number.
/// configurationVersion is the one by which the entry admitted the call; 0: not stated. CheckConfiguration only asks whether it is outdated.
struct JobCall { 1: i64 call, 2: CallKind kind, 3: string queue, 4: string job, 5: string account, 6: string spec, 7: i64 configurationVersion }
/// Outdated: the scheduler knows a later configuration, configurationVersion, and has not carried out the call; the entry has to admit it by that one.
/// generation: of the scheduler that answers; 0 if the process isn't the scheduler.
struct JobAnswer {
  1: i64 call, 2: CallOutcome outcome, 3: string state, 4: i64 waiting, 5: i64 retryAfterMs, 6: i64 configurationVersion, 7: i64 generation,
  8: AnswerBasis basis = AnswerBasis.Memory
}
/// A configuration document as written by the operators, forwarded to peers that have an older version.
struct CellConfigurationOffer { 1: i64 version, 2: string document }
