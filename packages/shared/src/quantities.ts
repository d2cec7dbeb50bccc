/** Units of quantities that cross module boundaries. */

/** A number of model tokens, of prompts or of generated text. */
export type TokenCount = number
/** A duration, or a point in time on a particular clock. */
export type Milliseconds = number
/** A size in memory or on the wire. */
export type Bytes = number
/** Version of a configuration or row, which grows with each change: the greater one is newer. */
export type Version = number
