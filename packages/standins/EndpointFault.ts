/** Fault that an endpoint stand-in injects into its next runs and responses. */
export type EndpointFault =
  | 'none'
  /** Closes the connection before it runs the task. */
  | 'resetBefore'
  /** Runs the task, then closes the connection without a response. */
  | 'resetAfter'
  /** Sends fewer bytes than the response's content length. */
  | 'truncate'
  /** Responds with another task's id. */
  | 'cross'
  /** Writes a second response after the first one on the connection. */
  | 'double'
  /** Runs new tasks ten times as long as requested. */
  | 'slow'
  /** Closes the connection at once and keeps running the task. */
  | 'dropAndRunOn'
  /** Runs the task until its lease ends, without completing it. */
  | 'silent';
