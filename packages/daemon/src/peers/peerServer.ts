import { timingSafeEqual } from 'node:crypto'
import { Server, ServerCredentials, status } from '@grpc/grpc-js'
import type { ServerUnaryCall, ServiceDefinition, sendUnaryData } from '@grpc/grpc-js'
import { RackwalkError, toRackwalkError } from '@rackwalk/shared'
import type { PeerHandlers } from '@rackwalk/coordination'
import { cannotListen } from '../observe/listenOn.js'
import {
  MAXIMUM_MESSAGE_BYTES,
  PEER_KINDS,
  SECRET_METADATA,
  decodeMessage,
  encodeMessage,
  methodPath,
} from './peerProtocol.js'

type UnaryHandler = (call: ServerUnaryCall<unknown, unknown>, reply: sendUnaryData<unknown>) => void

/** Receives the messages of other instances. */
export class PeerServer {
  private readonly server = new Server({
    'grpc.max_receive_message_length': MAXIMUM_MESSAGE_BYTES,
    'grpc.max_send_message_length': MAXIMUM_MESSAGE_BYTES,
  })

  constructor(
    handlers: PeerHandlers,
    private readonly secret: string | undefined,
  ) {
    const implementation: Record<string, UnaryHandler> = {}
    for (const kind of PEER_KINDS) {
      // Each handler takes the request of its own kind, which the method name has chosen.
      const handler = handlers[kind] as ((request: unknown) => unknown) | undefined
      implementation[kind] = (call, reply) => void this.handle(handler, call, reply)
    }
    this.server.addService(serviceDefinition(), implementation)
  }

  /** Listens and gives the port. */
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

  private async handle(
    handler: ((request: unknown) => unknown) | undefined,
    call: ServerUnaryCall<unknown, unknown>,
    reply: sendUnaryData<unknown>,
  ): Promise<void> {
    if (!this.isTrusted(call)) return reply({ code: status.UNAUTHENTICATED })
    if (handler === undefined) return reply({ code: status.UNIMPLEMENTED })
    try {
      reply(null, await handler(call.request))
    } catch (thrown) {
      const error = toRackwalkError(thrown)
      const code = thrown instanceof RackwalkError ? status.UNAVAILABLE : status.INTERNAL
      reply({ code, details: `${error.code} ${error.message}` })
    }
  }

  private isTrusted(call: ServerUnaryCall<unknown, unknown>): boolean {
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
        requestSerialize: encodeMessage,
        requestDeserialize: decodeMessage,
        responseSerialize: encodeMessage,
        responseDeserialize: decodeMessage,
      },
    ]),
  )
}
