/**
 * What an endpoint stand-in does wrong.
 * - `silent`: answers nothing and does nothing.
 * - `lateStarts`: answers no start and carries it out later.
 * - `lateAnswers`: carries starts out at once and answers them late.
 * - `slow`: runs take several times as long.
 * - `failing`: every run ends as failed.
 * - `hanging`: runs never end.
 */
export type ExecutorFault = 'none' | 'silent' | 'lateStarts' | 'lateAnswers' | 'slow' | 'failing' | 'hanging';
