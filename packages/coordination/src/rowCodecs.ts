/**
 * What the stored forms of the OpenAI-style kind share: schemas of ids, and reading a row by its
 * form. The forms themselves stand beside the types that they carry.
 */

import * as z from 'zod'
import { RackwalkError, ResultCode } from '@rackwalk/shared'
import type { JsonCodec, JsonValue, Row } from '@rackwalk/stores'

/** Any id; its brand exists for the compiler alone. */
export function idSchema<Id extends string>(): z.ZodType<Id> {
  return z.string() as unknown as z.ZodType<Id>
}

/** JSON of which this package only passes on what it holds. */
export const jsonSchema = z.json() as z.ZodType<JsonValue>

/** A codec whose names on the outside are those of the type at present. */
export function identityMapping<Value>(schema: z.ZodType<Value>) {
  return { schema, toWire: (value: Value) => value, fromWire: (wire: Value) => wire }
}

/**
 * The value that a row holds. Throws `PlatformUnavailable` where the row is not of its form: it
 * is as good as not given, and nothing of it may be read as zero. `CheckedTable` counts it.
 */
export function decodeRowValue<Wire, Value>(codec: JsonCodec<Wire, Value>, row: Row): Value {
  const value = codec.fromJson(row.value)
  if (value === undefined) throw malformedRowError(row)
  return value
}

/** The error of a row that is not of its form: it is as good as not given by the table. */
export function malformedRowError({ key }: Row): RackwalkError {
  const detail = `malformed row ${key.partition}/${key.sort}`
  return new RackwalkError(ResultCode.PlatformUnavailable, detail)
}
