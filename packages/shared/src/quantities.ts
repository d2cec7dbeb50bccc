/** Units of quantities that cross module boundaries. */

/** Whole model tokens, of prompts and of generated text alike. */
export type TokenCount = number
/** A duration, or a point in time on a particular clock. */
export type Milliseconds = number
/** A size in memory or on the wire. */
export type Bytes = number
/** Number of changes of one configuration or row; a greater one is newer. */
export type Version = number
