import type { Brand } from './Brand';

/** Id of one operator edit, shared by all retries of its append. */
export type EditId = Brand<string, 'EditId'>;
