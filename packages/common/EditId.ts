import type { Brand } from './Brand';

/** Id of one operator edit; the same over all retries of its append. */
export type EditId = Brand<string, 'EditId'>;
