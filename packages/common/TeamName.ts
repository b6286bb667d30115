import type { Brand } from './Brand';

/** Name of a team, to which quotas apply. */
export type TeamName = Brand<string, 'TeamName'>;
