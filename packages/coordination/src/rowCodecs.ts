/**
 * Shared parts of the stored forms of the OpenAI-style kind: schemas of ids, and decoding a row
 * with its codec. The codecs themselves are defined next to the types that they encode.
 */

import * as z from 'zod'
import { RackwalkError, ResultCode } from '@rackwalk/shared'
import type { JsonCodec, JsonValue, Row } from '@rackwalk/stores'

/** Schema of any id; the brand exists only for the compiler. */
export function idSchema<Id extends string>(): z.ZodType<Id> {
  return z.string() as unknown as z.ZodType<Id>
}

/** JSON whose content this package passes on without interpreting it. */
export const jsonSchema = z.json() as z.ZodType<JsonValue>

/** A codec mapping for a type whose stored fields currently have the same names as its members. */
export function identityMapping<Value>(schema: z.ZodType<Value>) {
  return { schema, toWire: (value: Value) => value, fromWire: (wire: Value) => wire }
}

/**
 * Decodes the value of a row. Throws `PlatformUnavailable` if the row is malformed: it is treated
 * as if it had not been read, and none of its fields may be read as zero. `ValidatingTable` counts
 * such rows.
 */
export function decodeRowValue<Wire, Value>(codec: JsonCodec<Wire, Value>, row: Row): Value {
  const value = codec.fromJson(row.value)
  if (value === undefined) throw malformedRowError(row)
  return value
}

/** Returns the error for a malformed row, which is treated as if the table had not returned it. */
export function malformedRowError({ key }: Row): RackwalkError {
  const detail = `malformed row ${key.partition}/${key.sort}`
  return new RackwalkError(ResultCode.PlatformUnavailable, detail)
}
