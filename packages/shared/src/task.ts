/** Lifecycle of a task, which owns its sockets, timers and state between start and stop. */
export interface Task {
  start(): Promise<void>
  /** Finishes work in progress and accepts nothing new. */
  drain(): Promise<void>
  /** Releases sockets and timers at once. */
  stop(): Promise<void>
}
