import type { BoxId } from '../common/BoxId';
import type { ProcessId } from '../common/ProcessId';
import { toId } from '../common/toId';

/** The box on which a process runs. */
export const toBox = (process: ProcessId): BoxId => toId<BoxId>(process.split('#')[0] ?? process);
