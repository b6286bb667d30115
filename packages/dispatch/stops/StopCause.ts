/**
 * Cause for which the leader stops a run.
 * - `jobEnded`: the run's job was cancelled, has failed or is complete.
 * - `slow`, `stalled`: the run is a straggler, and a new run elsewhere is expected to end earlier.
 * - `endpointLeaves`: the run's endpoint is draining, and the run isn't expected to end before the drain deadline.
 * - `gaveWay`: the run is preempted by more urgent work.
 * - `gangBroken`: another member of the run's gang is lost.
 * - `notWanted`: the run is an orphan, listed by an endpoint but not placed by this leader.
 * - `unanswered`: the start command of the run timed out and no poll has listed it since, so it may or may not be running.
 */
export type StopCause =
  'jobEnded' | 'slow' | 'stalled' | 'endpointLeaves' | 'gaveWay' | 'gangBroken' | 'notWanted' | 'unanswered';
