/**
 * Forms of text that leave the process: stored rows and messages between instances. A codec maps
 * field by field, so that types in memory can be renamed while the text stays as it is; two
 * versions of the program read each other's text in every rolling restart.
 */

import type * as z from 'zod'

/** Translates values to one form of text and back. */
export interface TextCodec<Value> {
  encode(value: Value): string
  /** Undefined where the text is not of this form; whoever reads it counts that. */
  decode(text: string): Value | undefined
}

/** What a form of JSON looks like and how it stands for a value. */
export interface JsonForm<Wire, Value> {
  /** Fields that it does not name are ignored, since a newer version may write more. */
  readonly schema: z.ZodType<Wire>
  /** Gives the fields in the order in which they are written. */
  readonly toWire: (value: Value) => Wire
  readonly fromWire: (wire: Wire) => Value
}

/** A codec of one form of JSON. */
export class JsonCodec<Wire, Value> implements TextCodec<Value> {
  constructor(private readonly form: JsonForm<Wire, Value>) {}

  encode(value: Value): string {
    return JSON.stringify(this.form.toWire(value))
  }

  decode(text: string): Value | undefined {
    const json = parseJson(text)
    const wire = json === undefined ? undefined : this.form.schema.safeParse(json).data
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
