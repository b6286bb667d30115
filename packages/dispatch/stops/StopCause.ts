/**
 * Cause for which the leader stops a run.
 * - `jobEnded`: its job was cancelled, has failed or is complete.
 * - `slow`, `stalled`: it is a straggler, and a new run elsewhere is expected to end earlier.
 * - `endpointLeaves`: its endpoint is draining, and the run isn't expected to end before the drain deadline.
 * - `gaveWay`: it is preempted by more urgent work.
 * - `gangBroken`: another member of its gang is lost.
 * - `notWanted`: it is an orphan run, listed by an endpoint but not placed by this leader.
 * - `unanswered`: its start command timed out and no poll has listed it since, so it may or may not be running.
 */
export type StopCause =
  'jobEnded' | 'slow' | 'stalled' | 'endpointLeaves' | 'gaveWay' | 'gangBroken' | 'notWanted' | 'unanswered';
