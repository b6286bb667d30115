import type { Brand } from './Brand';

/** Name of an entry box in the settings, unique in the cell. */
export type BoxId = Brand<string, 'BoxId'>;
