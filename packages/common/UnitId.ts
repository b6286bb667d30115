import type { Brand } from './Brand';

/** Id of a resource that at most one process of a hall owns at a time: `worker/NAME` or `seat/ROW/K`. */
export type UnitId = Brand<string, 'UnitId'>;
