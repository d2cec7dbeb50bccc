/** A part of the process that owns sockets, timers and state between its start and its stop. */
export interface Task {
  /** Begins the task's work. */
  start(): Promise<void>
  /** Finishes work in progress and accepts nothing new. */
  drain(): Promise<void>
  /** Releases sockets and timers at once. */
  stop(): Promise<void>
}
