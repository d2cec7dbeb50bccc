/**
 * Text formats that leave the process: stored rows and messages between instances. A codec maps
 * each field explicitly, so that types in memory can be renamed while the text stays the same. The
 * text has to stay the same because two versions of the program read each other's text during every
 * rolling restart.
 */

import type * as z from 'zod'
import type { JsonValue } from './tableService.js'

/** A JSON format and its mapping to values in memory. */
export interface JsonFormat<Wire, Value> {
  /** Describes the JSON text. Unknown fields are ignored, since a newer version may write more. */
  readonly schema: z.ZodType<Wire>
  /** Returns the JSON form of a value, with the fields in the order in which they are written. */
  readonly toWire: (value: Value) => Wire
  /** Returns the value of a JSON form that matches the schema. */
  readonly fromWire: (wire: Wire) => Value
}

/** Converts values to a JSON format and back. */
export class JsonCodec<Wire, Value> {
  constructor(private readonly format: JsonFormat<Wire, Value>) {}

  encode(value: Value): string {
    return JSON.stringify(this.format.toWire(value))
  }

  /**
   * Decodes a text. Returns undefined if the text does not match the format; the caller counts such
   * texts.
   */
  decode(text: string): Value | undefined {
    return this.fromJson(parseJson(text))
  }

  /** Returns the encoded form as a value, for stores that serialize JSON themselves. */
  toJson(value: Value): JsonValue {
    // The schema of each format describes JSON, but the type `Wire` does not express this.
    return this.format.toWire(value) as JsonValue
  }

  /** Decodes a JSON value. Returns undefined if the JSON value does not match the format. */
  fromJson(json: unknown): Value | undefined {
    const wire = this.parse(json)
    return wire === undefined ? undefined : this.format.fromWire(wire)
  }

  private parse(json: unknown): Wire | undefined {
    try {
      return this.format.schema.safeParse(json).data
    } catch (error) {
      // A schema of any JSON is recursive, and JSON may be nested more deeply than the stack is.
      if (error instanceof RangeError) return undefined
      throw error
    }
  }
}

/**
 * Parses a JSON text. Returns undefined if the text is not JSON; no JSON text has this value.
 */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    // Malformed text is an expected result, which the caller handles.
    return undefined
  }
}
