import type { TaskName } from '../../jobs/TaskName';

/** Ended run of a task in the status of an endpoint. Each status lists it until a poll has acknowledged it. */
export interface EndedTaskStatus {
  /** Sequence number of the end, unique and rising within one incarnation of the endpoint. */
  readonly number: number;
  readonly task: TaskName;
  readonly run: number;
  readonly how: EndKind;
  /** Last checkpoint of the run; empty when there is none. */
  readonly checkpoint: string;
}

/**
 * How a run ended.
 * - `lapsed`: the lease of the endpoint expired.
 * - `broken`: the run was ended because another member of its gang had ended.
 * - `alone`: the run was ended because its gang was never complete.
 */
type EndKind = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';
