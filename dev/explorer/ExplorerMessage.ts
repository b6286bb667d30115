import type { ProcessId } from '../../packages/common/ProcessId';
import type { HallRecord } from '../../packages/ownership/HallRecord';
import type { HeartbeatMessage } from '../../packages/ownership/HeartbeatMessage';
import type { LogRead } from '../../packages/ownership/LogRead';
import type { WorkerReport } from '../../packages/ownership/WorkerReport';

/** Something under way between processes, log and worker; it may arrive late or never. */
export type ExplorerMessage =
  | {
      readonly kind: 'question';
      readonly to: ProcessId;
      readonly askedAt: number;
      readonly message: HeartbeatMessage;
    }
  | {
      readonly kind: 'answer';
      readonly to: ProcessId;
      readonly askedAt: number;
      readonly message: HeartbeatMessage;
    }
  | { readonly kind: 'append'; readonly record: HallRecord }
  | { readonly kind: 'page'; readonly to: ProcessId; readonly read: LogRead }
  | {
      readonly kind: 'report';
      readonly to: ProcessId;
      readonly askedAt: number;
      readonly report: WorkerReport;
    };
