/**
 * What an endpoint stand-in does wrong.
 * - `silent`: answers nothing and does nothing.
 * - `lateStarts`: answers no start and carries it out later.
 * - `failing`: every run ends as failed.
 * - `hanging`: runs never end.
 */
export type ExecutorFault = 'none' | 'silent' | 'lateStarts' | 'failing' | 'hanging';
