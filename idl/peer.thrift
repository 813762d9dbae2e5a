/**
 * Messages between the hosts of azurewell.
 *
 * Compact protocol, framed by a four-byte length. Versions of neighbours may differ by one during a
 * rolling replacement: fields are only added, every field is optional on the wire, and an envelope with a
 * body that is not known decodes to no body and is counted and dropped.
 * Spans are microseconds and never points in time: clocks of two hosts are not comparable.
 */
namespace cpp azurewell.wire

struct EngineSummary {
  1: string engine
  2: i32 queued
  3: i32 running
  4: list<string> loaded
  5: i32 openSlots
  6: list<string> wanted
  7: bool partial
}

struct Heartbeat {
  1: i64 ticket
  2: bool leaving
  3: list<EngineSummary> engines
  4: string zone
  5: i32 seat
  6: string address
  7: i64 highestFencing
  8: i64 serial
  9: i64 echo
  10: i64 view
  11: i32 viewEpoch
  12: i64 nextWithin
  20: i64 newsAge
}

struct SlotAsk {
  1: string request
  2: string engine
  3: string adapter
  4: string customer
  5: i64 cost
  6: double weight
  7: i64 untilDeadline
  8: i64 serial
  9: i32 round
}

struct SlotGrant {
  1: string request
  2: string engine
  3: i64 leaseLength
  4: i64 basis
  5: i32 round
}

struct SlotRefusal {
  1: string request
  2: string engine
  3: i32 code
  4: i32 round
}

struct RunningSlot {
  1: string request
  2: string adapter
  3: bool running
  4: i32 round
}

struct SlotRenewal {
  1: string engine
  2: list<RunningSlot> slots
  3: i64 serial
}

struct SlotRenewed {
  1: string engine
  2: i64 basis
  3: i64 leaseLength
  4: list<string> lost
}

struct SlotRelease {
  1: string request
  2: string engine
  3: i64 used
  4: i32 round
  5: bool cancelled
}

struct TicketAsk {
  1: i64 after
}

struct TicketPush {
  1: i64 number
  2: string text
}

struct LoanReport {
  1: i64 closed
  2: i64 accepted
  3: i64 spent
  4: i64 returned
}

struct ShareAsk {
  1: string customer
  2: i64 serial
  3: i64 wanted
  4: i64 lender
  5: LoanReport report
}

struct ShareGrant {
  1: string customer
  2: i64 serial
  3: i64 amount
  4: i64 borrower
  5: i64 lease
  6: i64 left
  7: i32 borrowers
}

struct ShareQuery {
  1: string zone
  2: i32 seat
  3: i64 serial
}

struct HeldLoan {
  1: string customer
  2: i64 amount
}

struct ShareStatement {
  1: string zone
  2: i32 seat
  3: i64 serial
  4: i64 asker
  5: i64 newestOfAsker
  6: bool trusted
  7: i64 settled
  8: list<HeldLoan> held
}

struct PermitAsk {
  1: string number
  2: string customer
  3: string request
  4: i64 untilDeadline
}

struct HeldAnswer {
  1: i32 status
  2: string contentType
  3: binary body
}

struct PermitReply {
  1: string number
  2: string request
  3: i32 verdict
  4: i64 length
  5: HeldAnswer answer
}

struct OutcomeReport {
  1: string number
  2: string customer
  3: string request
  4: i32 outcome
  5: HeldAnswer answer
}

struct OutcomeAck {
  1: string request
}

struct SnapshotAsk {
  1: i64 ticket
  2: i32 segment
}

struct SnapshotPart {
  1: i64 ticket
  2: i32 segment
  3: binary text
}

union Body {
  1: Heartbeat heartbeat
  2: SlotAsk slotAsk
  3: SlotGrant slotGrant
  4: SlotRefusal slotRefusal
  5: SlotRenewal slotRenewal
  6: SlotRelease slotRelease
  7: TicketAsk ticketAsk
  8: TicketPush ticketPush
  9: SlotRenewed slotRenewed
  20: ShareAsk shareAsk
  21: ShareGrant shareGrant
  22: ShareQuery shareQuery
  23: ShareStatement shareStatement
  40: PermitAsk permitAsk
  41: PermitReply permitReply
  42: OutcomeReport outcomeReport
  43: OutcomeAck outcomeAck
  44: SnapshotAsk snapshotAsk
  45: SnapshotPart snapshotPart
}

struct Envelope {
  1: string sender
  2: i64 incarnation
  3: Body body
}
