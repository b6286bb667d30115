/**
 * Fault that the stand-in for the platform's log injects.
 * - `silent`: ignores all requests and sends no response.
 * - `busy`: responds with 503.
 * - `loseAnswers`: carries out appends but sends no response to them.
 */
export type LogFault = 'none' | 'silent' | 'busy' | 'loseAnswers';
