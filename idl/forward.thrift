/**
 * What a host adds to a request that it forwards to another host, and to a refusal that it returns.
 *
 * Compact protocol, base64, in one header each. Versions of neighbours may differ by one during a rolling replacement: fields
 * are only added, and every field is optional on the wire. Spans are microseconds.
 */
namespace cpp azurewell.wire.forward

struct ForwardedRequest {
  1: string sender
  /** Empty on a public route. */
  2: string customer
  3: string serviceId
  /** Until the caller's deadline. */
  4: i64 allowed
  /** Attempts after which the request may have run. */
  5: i32 possibleRuns
  /** Version of the software that began the stream which the request takes up again. */
  6: optional string begunBy
}

struct ForwardRefusal {
  /** As in the table of result codes. */
  1: i32 code
  /** The request has not run and never will. */
  2: bool notRun
  /** Until the caller should retry; 0: not stated. */
  3: i64 retryAfter
}
