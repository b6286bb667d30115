/**
 * Why we told an endpoint to stop a run.
 * - `stalled`, `slow`, `endpoint leaves`: it is to be done elsewhere.
 * - `gives way`: more urgent work takes its room.
 * - `gang split`: another member of its gang is lost.
 * - `job ended`: its job is over.
 * - `not wanted`: no placement that holds started it.
 * - `start unanswered`: its order had no answer, and it must be proved not to run before its task starts elsewhere.
 */
export type StopReason =
  | 'stalled'
  | 'slow'
  | 'endpoint leaves'
  | 'gives way'
  | 'gang split'
  | 'job ended'
  | 'not wanted'
  | 'start unanswered';
