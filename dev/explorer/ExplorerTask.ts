import type { ProcessId } from '../../packages/common/ProcessId';

/** A task that runs on the explorer's one worker. */
export interface ExplorerTask {
  readonly id: string;
  readonly holder: ProcessId;
  readonly slots: number;
  /** True for the replica of the one standing seat. */
  readonly isReplica: boolean;
  /** World time when the worker has it; before, it is on its way. */
  startsAt: number;
  /** World time when the worker ends it. */
  endsAt: number;
  /** True once its holder knows that it has ended. */
  isKnownEnded: boolean;
  /** The holder's local time of the last renewal or the start. */
  countedFrom: number;
  /** The holder's spell of seat ownership in which it was started. */
  readonly grant: number;
  /** Token of its order. */
  readonly token: number;
  /** Its right has been checked and its bytes have not left; only where orders may be held up. */
  isHeld: boolean;
}
