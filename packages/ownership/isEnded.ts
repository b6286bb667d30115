import type { ProcessId } from '../common/ProcessId';
import type { OwnershipState } from './OwnershipState';

/** True when the process is proved to place no more, ever. */
export const isEnded = (state: OwnershipState, process: ProcessId): boolean =>
  state.peers.get(process)?.endedAt !== undefined;
