/**
 * Why the leader stops a run.
 * - `jobEnded`: its job was cancelled, or failed.
 * - `slow`, `stalled`: a new run elsewhere would end sooner.
 * - `endpointLeaves`: its endpoint is about to leave, and it would not end before.
 * - `gaveWay`: more urgent work takes its room.
 * - `gangBroken`: another member of its gang is lost.
 * - `notWanted`: an endpoint lists it, and this leader has not placed it.
 * - `unanswered`: its start had no answer, so that it must be proved not to run.
 */
export type StopCause =
  'jobEnded' | 'slow' | 'stalled' | 'endpointLeaves' | 'gaveWay' | 'gangBroken' | 'notWanted' | 'unanswered';
