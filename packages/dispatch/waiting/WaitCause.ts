/**
 * Why a task that could start has not been placed yet.
 * - `round`: no round of placement has looked at it since it could start.
 * - `turn`: its question for advice waits for a box that is free to ask.
 * - `answer`: its question is under way.
 * - `room`: no endpoint that may run it has room.
 * - `limit`: its customer has as much running as it may.
 * - `pause`: it may have ended its endpoint, or endpoints did not take it, and its next start waits.
 */
export type WaitCause = 'round' | 'turn' | 'answer' | 'room' | 'limit' | 'pause';
