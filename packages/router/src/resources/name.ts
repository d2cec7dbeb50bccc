/** The syntax of resource names. */

import * as z from 'zod'

const NAME_PATTERN = /^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$/

/** A resource name, which is also a URL segment and a row key. */
export const nameSchema = z.string().regex(NAME_PATTERN, 'lower-case letters, digits, dots, dashes')
