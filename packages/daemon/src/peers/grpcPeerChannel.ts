/**
 * The client side of messages between instances. Owns a connection for each address. A call that is not answered in
 * time fails, and its sender decides what that means.
 */

import { Client, Metadata, credentials } from '@grpc/grpc-js'
import type { IncarnationId, Milliseconds } from '@rackwalk/shared'
import { PEER_MESSAGE_CODECS } from '@rackwalk/coordination'
import type {
  PeerChannel,
  PeerMessageCodecs,
  PeerMessageKind,
  PeerReply,
  PeerRequest,
} from '@rackwalk/coordination'
import type { MalformedInput } from '../observe/malformedInputLog.js'
import {
  MAXIMUM_MESSAGE_BYTES,
  SECRET_METADATA,
  methodPath,
  peerError,
  toBytes,
  toText,
} from './peerProtocol.js'

/** Returns the address of an incarnation, if it is known. */
export type AddressLookup = (incarnation: IncarnationId) => string | undefined

/** Calls other instances over gRPC; connections are kept by address. */
export class GrpcPeerChannel implements PeerChannel {
  private readonly clients = new Map<string, Client>()

  constructor(
    private readonly addressOf: AddressLookup,
    private readonly timeoutMilliseconds: Milliseconds,
    private readonly secret: string | undefined,
    private readonly onMalformed: (form: MalformedInput) => void,
  ) {}

  call<Kind extends PeerMessageKind>(
    target: IncarnationId,
    kind: Kind,
    request: PeerRequest<Kind>,
  ): Promise<PeerReply<Kind>> {
    const address = this.addressOf(target)
    if (address === undefined) return Promise.reject(peerError(`no address of ${target}`))
    return this.callAddress(address, kind, request)
  }

  /** Calls the instance that listens at an address. */
  callAddress<Kind extends PeerMessageKind>(
    address: string,
    kind: Kind,
    request: PeerRequest<Kind>,
  ): Promise<PeerReply<Kind>> {
    const form: PeerMessageCodecs<Kind> = PEER_MESSAGE_CODECS[kind]
    return new Promise((resolve, reject) => {
      this.clientOf(address).makeUnaryRequest(
        methodPath(kind),
        toBytes,
        toText,
        form.request.encode(request),
        this.metadata(),
        { deadline: Date.now() + this.timeoutMilliseconds },
        (error, text) => {
          if (error || text === undefined) return reject(peerError(error?.message ?? 'no reply'))
          const reply = form.reply.decode(text)
          if (reply !== undefined) return resolve(reply)
          this.onMalformed({ form: `reply to ${kind}`, source: address })
          reject(peerError(`malformed reply to ${kind}`))
        },
      )
    })
  }

  close(): void {
    for (const client of this.clients.values()) client.close()
    this.clients.clear()
  }

  private clientOf(address: string): Client {
    const known = this.clients.get(address)
    if (known !== undefined) return known
    const client = new Client(address, credentials.createInsecure(), {
      'grpc.max_receive_message_length': MAXIMUM_MESSAGE_BYTES,
      'grpc.max_send_message_length': MAXIMUM_MESSAGE_BYTES,
      // A replaced instance returns under the same address, so reconnection attempts must not back off for long.
      'grpc.max_reconnect_backoff_ms': 1_000,
    })
    this.clients.set(address, client)
    return client
  }

  private metadata(): Metadata {
    const metadata = new Metadata()
    if (this.secret !== undefined) metadata.set(SECRET_METADATA, this.secret)
    return metadata
  }
}
