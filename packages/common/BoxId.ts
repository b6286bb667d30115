import type { Brand } from './Brand';

/** Name of an entry box, as the settings give it. Unique in the cell. */
export type BoxId = Brand<string, 'BoxId'>;
