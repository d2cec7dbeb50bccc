/**
 * Text formats that leave the process: stored rows and messages between instances. A codec maps
 * field by field, so that types in memory can be renamed while the text stays the same. In every
 * rolling restart two versions of the program read each other's text.
 */

import type * as z from 'zod'
import type { JsonValue } from './tableService.js'

/** A JSON format and its mapping to values in memory. */
export interface JsonFormat<Wire, Value> {
  /** Unknown fields are ignored, since a newer version may write more. */
  readonly schema: z.ZodType<Wire>
  /** Returns the fields in the order in which they are written. */
  readonly toWire: (value: Value) => Wire
  readonly fromWire: (wire: Wire) => Value
}

/** Converts values to a JSON format and back. */
export class JsonCodec<Wire, Value> {
  constructor(private readonly format: JsonFormat<Wire, Value>) {}

  encode(value: Value): string {
    return JSON.stringify(this.format.toWire(value))
  }

  /**
   * Decodes a text. Returns undefined if it does not match the format; the caller counts such
   * texts.
   */
  decode(text: string): Value | undefined {
    return this.fromJson(parseJson(text))
  }

  /** Returns the encoded form as a value, for stores that serialize JSON themselves. */
  toJson(value: Value): JsonValue {
    // Each format's schema describes JSON, which its type does not express.
    return this.format.toWire(value) as JsonValue
  }

  /** Decodes a JSON value. Returns undefined if it does not match the format. */
  fromJson(json: unknown): Value | undefined {
    const wire = this.format.schema.safeParse(json).data
    return wire === undefined ? undefined : this.format.fromWire(wire)
  }
}

/**
 * Parses a JSON text. Returns undefined, which no JSON text represents, if the text is not JSON.
 */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    // Not an error here: the caller sees the result and counts it.
    return undefined
  }
}
