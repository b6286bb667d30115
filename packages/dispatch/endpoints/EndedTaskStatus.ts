import type { TaskName } from '../../jobs/TaskName';

/** An ended run in the status of an endpoint, which lists it until it is acknowledged. */
export interface EndedTaskStatus {
  /** Sequence number of the end, unique and rising within one incarnation of the endpoint. */
  readonly number: number;
  readonly task: TaskName;
  readonly run: number;
  readonly how: EndKind;
  readonly checkpoint: string;
}

/**
 * How a run ended.
 * - `lapsed`: its lease expired.
 * - `broken`: another member of its gang ended.
 * - `alone`: its gang was never complete.
 */
type EndKind = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';
