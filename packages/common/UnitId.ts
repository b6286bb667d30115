import type { Brand } from './Brand';

/** Something that one process of a hall owns at a time: `worker/NAME` or `seat/ROW/K`. */
export type UnitId = Brand<string, 'UnitId'>;
