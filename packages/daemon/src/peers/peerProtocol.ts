import { RackwalkError, ResultCode } from '@rackwalk/shared'

/** What the two sides of the gRPC connection between instances share. */

const PEER_SERVICE = 'rackwalk.Peers'
export const SECRET_METADATA = 'rackwalk-peer-secret'
/** Room for a configuration snapshot or a page of held entries. */
export const MAXIMUM_MESSAGE_BYTES = 64 * 1024 * 1024

/** Kinds of messages, each a unary method of the service. */
export const PEER_KINDS = [
  'heartbeat',
  'members',
  'hold',
  'releaseHeld',
  'collectHeld',
  'lend',
  'claimState',
  'registerKey',
  'endKey',
  'commitBatch',
  'configurationSince',
  'drain',
  'explain',
] as const

export function methodPath(kind: string): string {
  return `/${PEER_SERVICE}/${kind}`
}

/** Messages travel as JSON, which Node.js encodes natively. */
export function encodeMessage(message: unknown): Buffer {
  return Buffer.from(JSON.stringify(message))
}

export function decodeMessage(data: Buffer): unknown {
  return JSON.parse(data.toString('utf8'))
}

/** The numbered error that a peer's failure stands for. */
export function peerError(message: string): RackwalkError {
  return new RackwalkError(ResultCode.PlatformUnavailable, `peer: ${message}`)
}
