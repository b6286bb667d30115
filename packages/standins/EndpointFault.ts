/** How an endpoint stand-in spoils its next answers. */
export type EndpointFault =
  | 'none'
  /** Cuts the connection before it runs anything. */
  | 'resetBefore'
  /** Runs, then cuts the connection without an answer. */
  | 'resetAfter'
  /** Answers with fewer bytes than it announced. */
  | 'truncate'
  /** Answers with another task's id. */
  | 'cross'
  /** Writes the answer twice on one connection. */
  | 'double'
  /** Runs ten times as long. */
  | 'slow'
  /** Cuts the connection at once and runs on. */
  | 'dropAndRunOn'
  /** Never answers. */
  | 'silent';
