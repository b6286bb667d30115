/**
 * Fault that an endpoint stand-in injects.
 * - `silent`: ignores all requests and sends no response.
 * - `lateStarts`: sends no response to start commands, and carries them out after a delay.
 * - `lateAnswers`: carries start commands out at once, and responds after a delay.
 * - `rejecting`: rejects start commands for want of room.
 * - `slow`: new runs take several times as long.
 * - `failing`: new runs fail.
 * - `hanging`: new runs never end.
 */
export type ExecutorFault =
  'none' | 'silent' | 'lateStarts' | 'lateAnswers' | 'rejecting' | 'slow' | 'failing' | 'hanging';
