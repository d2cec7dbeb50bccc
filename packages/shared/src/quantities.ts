/** Units of the quantities that cross module boundaries. */

/** Whole model tokens, prompt and generated alike. */
export type TokenCount = number
/** A duration, or a point on a clock of its own. */
export type Milliseconds = number
/** A size in memory or on the wire. */
export type Bytes = number
/** Counts changes of one configuration or one row; greater is newer. */
export type Version = number
