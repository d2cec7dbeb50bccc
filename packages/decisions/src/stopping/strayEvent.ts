/**
 * Decides whether an event that an endpoint sent is stray: not the next one of the stream that the caller has.
 *
 * Inputs: whether the event begins with the head of an HTTP answer, its id, and the id of the last event that the caller has.
 *
 * | the event                                                   | stray |
 * | ----------------------------------------------------------- | ----- |
 * | begins with the status line of an HTTP answer               | yes   |
 * | has a number as id, not above that of the caller's last one | yes   |
 * | any other, also one whose id or the last one is no number   | no    |
 *
 * The ids of a stream rise. Bytes that an endpoint sends besides the due answer can't be told from a body that its length or
 * its connection frames, and an endpoint may begin a stream anew that it was asked to continue. Without this rule, the caller
 * would receive pieces twice, or those of another request.
 *
 * Limits: a gap between ids is no sign, since they need not be consecutive.
 */

/** An event as an endpoint sent it. */
export interface ReceivedEvent {
  /** Whether its first line is the status line of an HTTP answer. */
  readonly beginsAnswer: boolean
  /** Undefined if the event has none. */
  readonly id: string | undefined
}

const NUMBER = /^\d+$/

/** Returns whether the event does not follow the last one that the caller has, whose id is given if it has one. */
export function isStrayEvent(
  { beginsAnswer, id }: ReceivedEvent,
  lastId: string | undefined,
): boolean {
  if (beginsAnswer) return true
  if (id === undefined || lastId === undefined) return false
  if (!NUMBER.test(id) || !NUMBER.test(lastId)) return false
  return BigInt(id) <= BigInt(lastId)
}
