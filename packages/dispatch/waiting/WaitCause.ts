/**
 * Cause for which a task that may start hasn't been placed yet.
 * - `round`: no round of placement has considered it yet.
 * - `turn`: the advice request for its step waits for a free slot.
 * - `answer`: the advice request for its step has no response yet.
 * - `room`: no endpoint that may run it has enough free capacity.
 * - `limit`: its customer has too little left of its resource limit.
 * - `bound`: its job has as many runs or pending starts as the leader's bounds leave it.
 * - `pause`: its next start is backing off after a crash or rejected starts.
 */
export type WaitCause = 'round' | 'turn' | 'answer' | 'room' | 'limit' | 'bound' | 'pause';
