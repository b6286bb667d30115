/**
 * What the stand-in for the platform's log does wrong.
 * - `silent`: takes no call in and answers none.
 * - `busy`: answers 503.
 * - `loseAnswers`: does every write and answers none.
 */
export type LogFault = 'none' | 'silent' | 'busy' | 'loseAnswers';
