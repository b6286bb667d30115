import type { Brand } from './Brand';

/** Name of a team, the unit of quotas. */
export type TeamName = Brand<string, 'TeamName'>;
