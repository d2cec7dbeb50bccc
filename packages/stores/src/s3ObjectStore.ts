/** The object store over the S3 API. Owns the connections to the store; caches no objects. */

import {
  GetObjectCommand,
  ListObjectsV2Command,
  NoSuchKey,
  PutObjectCommand,
  S3Client,
} from '@aws-sdk/client-s3'
import type { Milliseconds } from '@rackwalk/shared'
import { classifyServiceError } from './awsErrors.js'
import { FRAMING_CHECK, refuseUnframedAnswers } from './framedAnswers.js'
import type { ObjectStore } from './objectStore.js'

/** Address of the bucket and the credentials for it. */
export interface S3Options {
  readonly endpoint: string
  readonly region: string
  readonly bucket: string
  readonly accessKeyId: string
  readonly secretAccessKey: string
  readonly timeoutMilliseconds: Milliseconds
}

/** The object store over the S3 API, with path-style addresses. */
export class S3ObjectStore implements ObjectStore {
  private readonly client: S3Client

  constructor(private readonly options: S3Options) {
    this.client = new S3Client({
      endpoint: options.endpoint,
      region: options.region,
      forcePathStyle: true,
      maxAttempts: 1,
      requestChecksumCalculation: 'WHEN_REQUIRED',
      responseChecksumValidation: 'WHEN_REQUIRED',
      credentials: {
        accessKeyId: options.accessKeyId,
        secretAccessKey: options.secretAccessKey,
      },
    })
    this.client.middlewareStack.add(refuseUnframedAnswers, FRAMING_CHECK)
  }

  async put(key: string, body: Buffer): Promise<void> {
    const command = new PutObjectCommand({ Bucket: this.options.bucket, Key: key, Body: body })
    await this.guarded(signal => this.client.send(command, { abortSignal: signal }))
  }

  async get(key: string): Promise<Buffer | undefined> {
    const command = new GetObjectCommand({ Bucket: this.options.bucket, Key: key })
    try {
      return await this.guarded(async signal => {
        const answer = await this.client.send(command, { abortSignal: signal })
        return Buffer.from((await answer.Body?.transformToByteArray()) ?? [])
      })
    } catch (thrown) {
      if (thrown instanceof NoSuchKey) return undefined
      throw thrown
    }
  }

  async list(prefix: string, limit: number, after?: string): Promise<readonly string[]> {
    const command = new ListObjectsV2Command({
      Bucket: this.options.bucket,
      Prefix: prefix,
      MaxKeys: limit,
      StartAfter: after,
    })
    const answer = await this.guarded(signal => this.client.send(command, { abortSignal: signal }))
    return (answer.Contents ?? []).flatMap(entry => (entry.Key === undefined ? [] : [entry.Key]))
  }

  /** Closes the connections. */
  close(): void {
    this.client.destroy()
  }

  private async guarded<Answer>(send: (signal: AbortSignal) => Promise<Answer>): Promise<Answer> {
    try {
      return await send(AbortSignal.timeout(this.options.timeoutMilliseconds))
    } catch (thrown) {
      if (thrown instanceof NoSuchKey) throw thrown
      throw classifyServiceError(thrown)
    }
  }
}
