/**
 * Reason why a task that could start hasn't been placed yet.
 * - `round`: there was no round of placement since it became ready.
 * - `turn`: its advice request waits for a free slot.
 * - `answer`: its advice request has no response yet.
 * - `room`: no endpoint that may run it has enough free capacity.
 * - `limit`: its customer is at its limit.
 * - `pause`: its next start is backing off after a crash or rejected starts.
 */
export type WaitCause = 'round' | 'turn' | 'answer' | 'room' | 'limit' | 'pause';
