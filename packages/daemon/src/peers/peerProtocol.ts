/** Definitions that both sides of the gRPC connection between OpenAI-style instances share. */

import { RackwalkError, ResultCode } from '@rackwalk/shared'
import { PEER_MESSAGE_CODECS } from '@rackwalk/coordination'
import type { PeerMessageKind } from '@rackwalk/coordination'

/** Name of the service; it is part of each method's path. */
const PEER_SERVICE = 'rackwalk.Peers'
/** Metadata that carries the secret between peers. */
export const SECRET_METADATA = 'rackwalk-peer-secret'
/** Large enough for a configuration snapshot or a page of held entries. */
export const MAXIMUM_MESSAGE_BYTES = 64 * 1024 * 1024

/** Kinds of messages, each a unary method of the service. */
export const PEER_KINDS = Object.keys(PEER_MESSAGE_CODECS) as readonly PeerMessageKind[]

/** Returns the path of a kind's method. */
export function methodPath(kind: string): string {
  return `/${PEER_SERVICE}/${kind}`
}

/** Encodes a message's text; messages are JSON, which Node.js encodes natively. */
export function toBytes(text: string): Buffer {
  return Buffer.from(text)
}

/** Decodes a message's text. */
export function toText(bytes: Buffer): string {
  return bytes.toString('utf8')
}

/** The numbered error of a failed call to a peer. */
export function peerError(message: string): RackwalkError {
  return new RackwalkError(ResultCode.PlatformUnavailable, `peer: ${message}`)
}
