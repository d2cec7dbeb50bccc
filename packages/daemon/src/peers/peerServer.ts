/**
 * The server side of messages between instances: decodes requests, passes them to their handlers and sends the
 * replies. Owns the listener.
 */

import { timingSafeEqual } from 'node:crypto'
import { Server, ServerCredentials, status } from '@grpc/grpc-js'
import type { ServerUnaryCall, ServiceDefinition, sendUnaryData } from '@grpc/grpc-js'
import { RackwalkError, toRackwalkError } from '@rackwalk/shared'
import { PEER_MESSAGE_CODECS } from '@rackwalk/coordination'
import type {
  PeerMessageCodecs,
  PeerHandler,
  PeerHandlers,
  PeerMessageKind,
} from '@rackwalk/coordination'
import { cannotListen } from '../observe/listenOn.js'
import type { MalformedInput } from '../observe/malformedInputLog.js'
import {
  MAXIMUM_MESSAGE_BYTES,
  PEER_KINDS,
  SECRET_METADATA,
  methodPath,
  toBytes,
  toText,
} from './peerProtocol.js'

type UnaryCall = ServerUnaryCall<string, string>
type UnaryHandler = (call: UnaryCall, reply: sendUnaryData<string>) => void

/** Receives the messages of other instances. */
export class PeerServer {
  private readonly server = new Server({
    'grpc.max_receive_message_length': MAXIMUM_MESSAGE_BYTES,
    'grpc.max_send_message_length': MAXIMUM_MESSAGE_BYTES,
  })

  constructor(
    handlers: PeerHandlers,
    private readonly secret: string | undefined,
    private readonly onMalformed: (form: MalformedInput) => void,
  ) {
    const implementation: Record<string, UnaryHandler> = {}
    for (const kind of PEER_KINDS) implementation[kind] = this.methodOf(kind, handlers)
    this.server.addService(serviceDefinition(), implementation)
  }

  /** Listens and resolves with the port. */
  listen(address: string): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.bindAsync(address, ServerCredentials.createInsecure(), (error, port) => {
        if (error) reject(cannotListen(address, error))
        else resolve(port)
      })
    })
  }

  stop(): void {
    this.server.forceShutdown()
  }

  private methodOf<Kind extends PeerMessageKind>(kind: Kind, handlers: PeerHandlers): UnaryHandler {
    // Each handler takes the request of its own kind, which the key has selected.
    const handler = handlers[kind] as PeerHandler<Kind> | undefined
    return (call, reply) => void this.handle(kind, handler, call, reply)
  }

  private async handle<Kind extends PeerMessageKind>(
    kind: Kind,
    handler: PeerHandler<Kind> | undefined,
    call: UnaryCall,
    reply: sendUnaryData<string>,
  ): Promise<void> {
    if (!this.isTrusted(call)) return reply({ code: status.UNAUTHENTICATED })
    if (handler === undefined) return reply({ code: status.UNIMPLEMENTED })
    const form: PeerMessageCodecs<Kind> = PEER_MESSAGE_CODECS[kind]
    const request = form.request.decode(call.request)
    if (request === undefined) {
      this.onMalformed({ form: kind, source: call.getPeer() })
      return reply({ code: status.INVALID_ARGUMENT, details: `malformed ${kind}` })
    }
    try {
      reply(null, form.reply.encode(await handler(request)))
    } catch (thrown) {
      const error = toRackwalkError(thrown)
      const code = thrown instanceof RackwalkError ? status.UNAVAILABLE : status.INTERNAL
      reply({ code, details: `${error.code} ${error.message}` })
    }
  }

  private isTrusted(call: UnaryCall): boolean {
    if (this.secret === undefined) return true
    const shown = Buffer.from(String(call.metadata.get(SECRET_METADATA)[0] ?? ''))
    const expected = Buffer.from(this.secret)
    return shown.length === expected.length && timingSafeEqual(shown, expected)
  }
}

function serviceDefinition(): ServiceDefinition {
  return Object.fromEntries(
    PEER_KINDS.map(kind => [
      kind,
      {
        path: methodPath(kind),
        requestStream: false,
        responseStream: false,
        requestSerialize: toBytes,
        requestDeserialize: toText,
        responseSerialize: toBytes,
        responseDeserialize: toText,
      },
    ]),
  )
}
