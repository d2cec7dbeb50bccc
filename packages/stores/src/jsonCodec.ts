/**
 * Forms of text that leave the process: stored rows and messages between instances. A codec maps
 * field by field, so that types in memory can be renamed while the text stays as it is; two
 * versions of the program read each other's text in every rolling restart.
 */

import type * as z from 'zod'
import type { JsonValue } from './tableService.js'

/** What a form of JSON looks like and how it stands for a value. */
export interface JsonFormat<Wire, Value> {
  /** Fields that it does not name are ignored, since a newer version may write more. */
  readonly schema: z.ZodType<Wire>
  /** Gives the fields in the order in which they are written. */
  readonly toWire: (value: Value) => Wire
  readonly fromWire: (wire: Wire) => Value
}

/** Translates values to one form of JSON and back. */
export class JsonCodec<Wire, Value> {
  constructor(private readonly form: JsonFormat<Wire, Value>) {}

  encode(value: Value): string {
    return JSON.stringify(this.form.toWire(value))
  }

  /** Undefined where the text is not of this form; whoever reads it counts that. */
  decode(text: string): Value | undefined {
    return this.fromJson(parseJson(text))
  }

  /** The form as a value, for stores that write the JSON themselves. */
  toJson(value: Value): JsonValue {
    // Each form's schema describes JSON, which its type does not say.
    return this.form.toWire(value) as JsonValue
  }

  /** Undefined where the JSON is not of this form. */
  fromJson(json: unknown): Value | undefined {
    const wire = this.form.schema.safeParse(json).data
    return wire === undefined ? undefined : this.form.fromWire(wire)
  }
}

/** What a JSON text says; undefined, which no JSON text stands for, where it is none. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    // Not an error here: the caller learns it from the answer and counts it.
    return undefined
  }
}
