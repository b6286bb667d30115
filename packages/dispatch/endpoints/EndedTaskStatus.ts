import type { TaskName } from '../../jobs/TaskName';

/** One end that an endpoint reports until it is acknowledged. */
export interface EndedTaskStatus {
  /** Rising number of the end within the endpoint's life. */
  readonly number: number;
  readonly task: TaskName;
  readonly run: number;
  readonly how: EndKind;
  readonly checkpoint: string;
}

/** `broken`: another member of its gang ended; `alone`: the gang was never complete; `lapsed`: its lease ran out. */
type EndKind = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';
